package telemetry

import (
	"testing"
	"time"
)

// Invalid calls could fill the log: lines about them must be bounded, and each line
// must count the calls that had none.
func TestLineLimit(t *testing.T) {
	var l LineLimit
	start := time.Unix(100, 0)
	lines, events := 0, 0
	for n := range 5_001 {
		if count, ok := l.Allow(start.Add(time.Duration(n) * time.Millisecond)); ok {
			lines, events = lines+1, events+count
		}
	}
	if lines != 6 || events != 5_001 {
		t.Errorf("%d lines count %d of 5001 events in 5 s, expected 6 lines", lines, events)
	}
}
