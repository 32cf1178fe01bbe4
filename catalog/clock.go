package catalog

import "time"

// Instant is a reading of one process's monotonic clock, in nanoseconds. It has
// no meaning in another process, so messages carry durations instead.
type Instant int64

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the duration i-u.
func (i Instant) Sub(u Instant) time.Duration {
	return time.Duration(i - u)
}

// Before reports whether i is earlier than u.
func (i Instant) Before(u Instant) bool {
	return i < u
}

// After reports whether i is later than u.
func (i Instant) After(u Instant) bool {
	return i > u
}
