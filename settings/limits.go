package settings

// Limits bound what callers may ask of one entry.
type Limits struct {
	// MaxMessageBytes is the longest message of a caller, in bytes.
	MaxMessageBytes int
	// MaxCallers is how many callers may be connected at a time.
	MaxCallers int
	// MaxQueue is how many requests may wait for a service.
	MaxQueue int
	// Observers is how many entries of a site watch a service that none of
	// their callers use; 0 stands for all.
	Observers int
}

const (
	defaultMaxMessageBytes = 16 << 20
	minMaxMessageBytes     = 1 << 10
	defaultMaxCallers      = 10_000
	defaultMaxQueue        = 1_000
)

func (s *Settings) readLimits(t *tableReader) {
	s.Limits = Limits{MaxMessageBytes: defaultMaxMessageBytes, MaxCallers: defaultMaxCallers, MaxQueue: defaultMaxQueue}
	t.readInteger("max-message", minMaxMessageBytes, &s.Limits.MaxMessageBytes)
	t.readInteger("max-callers", 1, &s.Limits.MaxCallers)
	t.readInteger("queue", 1, &s.Limits.MaxQueue)
	t.readInteger("observers", 0, &s.Limits.Observers)
	t.reportUnknownKeys()
}
