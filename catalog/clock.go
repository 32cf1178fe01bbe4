package catalog

import "time"

// Instant is a moment on one process's monotonic clock, in nanoseconds. It has
// no meaning in another process, so messages carry lengths of time instead.
type Instant int64

// Add returns the instant a length of time later.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from u to i.
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
