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

// partKey is the field that names the part of the system a line is about.
const partKey = "part"

// NewLogger returns a logger that writes JSON lines to standard error. The
// level is "info" or "error"; anything else is taken as "info".
func NewLogger(level string) logr.Logger {
	return NewLoggerTo(os.Stderr, level)
}

// NewLoggerTo returns a logger that writes JSON lines. Writes need not be safe
// for concurrent use.
func NewLoggerTo(w io.Writer, level string) logr.Logger {
	least := zapcore.InfoLevel
	if level == "error" {
		least = zapcore.ErrorLevel
	}
	return newLogger(zapcore.Lock(zapcore.AddSync(w)), least)
}

func newLogger(w zapcore.WriteSyncer, least zapcore.Level) logr.Logger {
	encoder := zap.NewProductionEncoderConfig()
	encoder.TimeKey = "time"
	encoder.MessageKey = "text"
	encoder.CallerKey = zapcore.OmitKey
	encoder.StacktraceKey = zapcore.OmitKey
	encoder.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapr.NewLogger(zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(encoder), w, least)))
}

// Part returns a logger whose lines name a part of the system.
func Part(l logr.Logger, name string) logr.Logger {
	return l.WithValues(partKey, name)
}

// Write writes one line on behalf of a part. Pairs are keys and values by
// turns; a key without a value is dropped.
func LogLine(l logr.Logger, failed bool, part, text string, pairs []string) {
	values := make([]any, 0, len(pairs))
	for _, p := range pairs[:len(pairs)&^1] {
		values = append(values, p)
	}
	l = Part(l, part)
	if failed {
		l.Error(errors.New(text), text, values...)
		return
	}
	l.Info(text, values...)
}
