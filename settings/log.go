package settings

// LogLevel is the minimum level of the log lines that are written.
type LogLevel string

// Log levels.
const (
	LogInfo  LogLevel = "info"
	LogError LogLevel = "error"
)

// Log configures the log.
type Log struct {
	Level LogLevel
}

// Trace configures tracing.
type Trace struct {
	// File is the file that spans are written to. No spans are written if it
	// is empty.
	File string
}

func (s *Settings) readLog(t *tableReader) {
	s.Log.Level = LogInfo
	readString(t, "level", &s.Log.Level)
	if s.Log.Level != LogInfo && s.Log.Level != LogError {
		t.addFinding("level", "must be \"info\" or \"error\"")
	}
	t.reportUnknownKeys()
}

func (s *Settings) readTrace(t *tableReader) {
	readString(t, "file", &s.Trace.File)
	t.reportUnknownKeys()
}
