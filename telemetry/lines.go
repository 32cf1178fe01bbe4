package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/zap/zapcore"
)

// Bounds of a process's log. A process of an entry VM decides on some hundred
// requests a second; a line each would cost it about one percent of a core.
const (
	linesQueue     = 512
	linesPerSecond = 200
	linesBurst     = 400
)

// Lines writes log lines without ever blocking their writer. Beyond a rate, or
// while the reader is slow, lines are left out and counted in the log itself.
type LineWriter struct {
	out   io.Writer
	queue chan []byte
	done  chan struct{}

	mutex  sync.Mutex
	tokens float64
	filled time.Time
	// left counts the lines left out since the last one that was taken.
	left   int
	closed bool
}

// NewLines returns a writer of lines.
func NewLineWriter(out io.Writer) *LineWriter {
	l := &LineWriter{out: out, queue: make(chan []byte, linesQueue), done: make(chan struct{}), tokens: linesBurst, filled: time.Now()}
	go l.run()
	return l
}

func (l *LineWriter) run() {
	defer close(l.done)
	for line := range l.queue {
		if _, err := l.out.Write(line); err != nil {
			// There is nowhere else to say it.
			return
		}
	}
}

// Write takes one line, or leaves it out.
func (l *LineWriter) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.filled).Seconds()*linesPerSecond, linesBurst)
	l.filled = now
	if l.closed || l.tokens < 1 {
		l.left++
		return len(line), nil
	}
	text := append([]byte(nil), line...)
	if l.left > 0 {
		text = append(text, fmt.Sprintf("{\"level\":\"info\",\"time\":%q,\"text\":\"Lines were left out.\",\"part\":\"log\",\"lines\":%d}\n",
			now.Format(time.RFC3339Nano), l.left)...)
	}
	select {
	case l.queue <- text:
		l.tokens--
		l.left = 0
	default:
		l.left++
	}
	return len(line), nil
}

// Sync does nothing; Close waits for what is queued.
func (l *LineWriter) Sync() error { return nil }

// closeTime bounds the wait for a slow reader at the end.
const closeTime = 200 * time.Millisecond

// Close writes what is queued, for a short time.
func (l *LineWriter) Close() {
	l.mutex.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mutex.Unlock()
	select {
	case <-l.done:
	case <-time.After(closeTime):
	}
}

// NewLineLogger returns a logger that writes JSON lines to l.
func NewLineLogger(l *LineWriter) logr.Logger {
	return newLogger(zapcore.AddSync(l), zapcore.InfoLevel)
}
