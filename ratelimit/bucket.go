package ratelimit

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// bucket is a token bucket. Its rate and depth are given with each use, since
// they change with the share of the entry.
type bucket struct {
	tokens float64
	at     catalog.Instant
}

// refill adds the tokens of the time since the last refill, up to the depth.
// Tokens above a depth that has become smaller are dropped.
func (b *bucket) refill(now catalog.Instant, rate, depth float64) {
	if now.After(b.at) {
		b.tokens += now.Sub(b.at).Seconds() * rate
		b.at = now
	}
	b.tokens = min(b.tokens, depth)
}

// timeUntil returns when the bucket will hold the given number of tokens, with a
// maximum of maxRetry.
func (b *bucket) timeUntil(tokens, rate float64) time.Duration {
	missing := tokens - b.tokens
	if missing <= 0 {
		return 0
	}
	if missing >= rate*maxRetry.Seconds() {
		return maxRetry
	}
	return time.Duration(missing / rate * float64(time.Second))
}

// meter is an exponentially weighted average of the rate of events.
type meter struct {
	rate float64
	at   catalog.Instant
}

// value returns the rate per second as of now.
func (m *meter) value(now catalog.Instant, constant time.Duration) float64 {
	if now.After(m.at) {
		m.rate *= decay(now.Sub(m.at), constant)
		m.at = now
	}
	return m.rate
}

// add records one event.
func (m *meter) add(now catalog.Instant, constant time.Duration) {
	m.rate = m.value(now, constant) + 1/constant.Seconds()
}
