package settings

// Limits bound what callers may ask of one entry.
type Limits struct {
	// MaxMessage is the longest message of a caller, in bytes.
	MaxMessage int
	// MaxCallers is how many callers may be connected at a time.
	MaxCallers int
	// Queue is how many requests may wait for a service.
	MaxQueue int
	// Observers is how many entries of a site watch a service that none of
	// their callers use; 0 stands for all.
	Observers int
}

const (
	defaultMaxMessage = 16 << 20
	leastMaxMessage   = 1 << 10
	defaultMaxCallers = 10_000
	defaultQueue      = 1_000
)

func (s *Settings) readLimits(t *table) {
	s.Limits = Limits{MaxMessage: defaultMaxMessage, MaxCallers: defaultMaxCallers, MaxQueue: defaultQueue}
	t.integer("max-message", leastMaxMessage, &s.Limits.MaxMessage)
	t.integer("max-callers", 1, &s.Limits.MaxCallers)
	t.integer("queue", 1, &s.Limits.MaxQueue)
	t.integer("observers", 0, &s.Limits.Observers)
	t.finish()
}
