package telemetry

import (
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/go-logr/logr"
	"go.uber.org/zap/zapcore"
)

// Limits of a process's log, in lines. The process of an entry VM decides on
// several hundred requests per second. To log a line for each of them would use
// about one percent of a core.
const (
	lineQueueLength = 512
	linesPerSecond  = 200
	lineBurst       = 400
)

// LineWriter writes log lines without blocking its caller. It drops lines that
// exceed a rate limit or don't fit into its queue because the reader is slow. The
// next line that it queues is followed by one with the number of dropped lines.
type LineWriter struct {
	out   io.Writer
	queue chan []byte
	done  chan struct{}

	mutex      sync.Mutex
	tokens     float64
	lastRefill time.Time
	// droppedLines counts the lines dropped since a line was last queued.
	droppedLines int
	closed       bool
}

// NewLineWriter returns a LineWriter that writes to out in a goroutine of its
// own until Close is called or a write to out fails.
func NewLineWriter(out io.Writer) *LineWriter {
	l := &LineWriter{out: out, queue: make(chan []byte, lineQueueLength), done: make(chan struct{}), tokens: lineBurst, lastRefill: time.Now()}
	go l.run()
	return l
}

func (l *LineWriter) run() {
	defer close(l.done)
	for line := range l.queue {
		if _, err := l.out.Write(line); err != nil {
			// A failed write to the log can't be logged.
			return
		}
	}
}

// Write queues one line or drops it. It never returns an error.
func (l *LineWriter) Write(line []byte) (int, error) {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	now := time.Now()
	l.tokens = min(l.tokens+now.Sub(l.lastRefill).Seconds()*linesPerSecond, lineBurst)
	l.lastRefill = now
	if l.closed || l.tokens < 1 {
		l.droppedLines++
		return len(line), nil
	}
	text := append([]byte(nil), line...)
	if l.droppedLines > 0 {
		text = append(text, fmt.Sprintf("{\"level\":\"info\",\"time\":%q,\"text\":\"Lines were left out.\",\"part\":\"log\",\"lines\":%d}\n",
			now.Format(time.RFC3339Nano), l.droppedLines)...)
	}
	select {
	case l.queue <- text:
		l.tokens--
		l.droppedLines = 0
	default:
		l.droppedLines++
	}
	return len(line), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing and returns nil; only Close
// waits until the queued lines are written.
func (l *LineWriter) Sync() error { return nil }

// closeTimeout bounds how long Close waits for a slow reader of the log.
const closeTimeout = 200 * time.Millisecond

// Close waits until the queued lines are written, for at most closeTimeout. Lines
// that are logged after Close are dropped.
func (l *LineWriter) Close() {
	l.mutex.Lock()
	if !l.closed {
		l.closed = true
		close(l.queue)
	}
	l.mutex.Unlock()
	select {
	case <-l.done:
	case <-time.After(closeTimeout):
	}
}

// NewLineLogger returns a logger that writes JSON lines to l.
func NewLineLogger(l *LineWriter) logr.Logger {
	return newLogger(zapcore.AddSync(l), zapcore.InfoLevel)
}
