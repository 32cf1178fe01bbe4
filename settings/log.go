package settings

// LogLevel says which log lines are written.
type LogLevel string

// Levels of the log.
const (
	LogInfo  LogLevel = "info"
	LogError LogLevel = "error"
)

// Log says how the process logs.
type Log struct {
	Level LogLevel
}

// Trace says where the process writes its spans.
type Trace struct {
	// File is empty if no spans are written.
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
