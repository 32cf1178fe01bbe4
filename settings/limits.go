package settings

// Limits bound the resources that the callers of one entry may use.
type Limits struct {
	// MaxMessageBytes is the maximum length of a caller's message.
	MaxMessageBytes int
	// MaxCallers is the maximum number of connected callers.
	MaxCallers int
	// MaxQueue is the maximum number of queued requests per service.
	MaxQueue int
	// Observers is how many entries of each site monitor a service even if none
	// of their callers use it. 0 means all entries.
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
