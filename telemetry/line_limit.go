package telemetry

import (
	"sync"
	"time"
)

// limitedLineInterval is the minimum time between two lines under one LineLimit.
const limitedLineInterval = time.Second

// LineLimit bounds the log lines about events whose number is up to someone else,
// so that they don't displace other lines. The zero value is ready for use, by any
// goroutine.
type LineLimit struct {
	mutex sync.Mutex
	// nextAt is the earliest time of the next line.
	nextAt time.Time
	events int
}

// Allow counts an event and reports whether a line may be logged for it now. It
// returns the number of events since the last line, including this one.
func (l *LineLimit) Allow(now time.Time) (events int, ok bool) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	l.events++
	events = l.events
	if now.Before(l.nextAt) {
		return events, false
	}
	l.events, l.nextAt = 0, now.Add(limitedLineInterval)
	return events, true
}
