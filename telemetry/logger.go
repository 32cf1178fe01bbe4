package telemetry

import (
	"io"
	"os"

	"github.com/go-logr/logr"
	"github.com/go-logr/zapr"
	"github.com/juju/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// partKey is the key under which a line names the part of the system that logs it.
const partKey = "part"

// NewLogger returns a logger that writes JSON lines to standard error. The
// level is "info" or "error"; any other value means "info".
func NewLogger(level string) logr.Logger {
	return NewLoggerTo(os.Stderr, level)
}

// NewLoggerTo returns a logger that writes JSON lines to w, which need not be safe
// for concurrent use. The level is as for NewLogger.
func NewLoggerTo(w io.Writer, level string) logr.Logger {
	minLevel := zapcore.InfoLevel
	if level == "error" {
		minLevel = zapcore.ErrorLevel
	}
	return newLogger(zapcore.Lock(zapcore.AddSync(w)), minLevel)
}

func newLogger(w zapcore.WriteSyncer, minLevel zapcore.Level) logr.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey = "time"
	encoder.MessageKey = "text"
	encoder.CallerKey = zapcore.OmitKey
	encoder.StacktraceKey = zapcore.OmitKey
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapr.NewLogger(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, minLevel)))
}

// WithPart returns a logger that adds the name of a part of the system to each
// line.
func WithPart(l logr.Logger, name string) logr.Logger {
	return l.WithValues(partKey, name)
}

// LogLine logs one line for a part of the system, at level error if isError is set
// and at level info otherwise. pairs alternates keys and values; a key without a
// value is dropped.
func LogLine(l logr.Logger, isError bool, part, text string, pairs []string) {
	values := make([]any, 0, len(pairs))
	for _, p := range pairs[:len(pairs)&^1] {
		values = append(values, p)
	}
	l = WithPart(l, part)
	if isError {
		l.Error(errors.New(text), text, values...)
		return
	}
	l.Info(text, values...)
}
