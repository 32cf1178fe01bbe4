package balance

import (
	"math"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// loadHalfLife is the time after which offered work counts half. It is short
// against waves of demand of 13 s and long against bursts of a few requests.
const loadHalfLife = 500 * time.Millisecond

// Load measures offered work as the mean number of statements that would run at
// the same time if all of the work ran.
type Load struct {
	// sum is the work in seconds, reduced by its age, as of at.
	sum float64
	at  catalog.Instant
}

// Add counts a request that occupies an upstream for the given time.
func (l *Load) Add(work time.Duration, now catalog.Instant) {
	l.sum, l.at = l.decayed(now)+work.Seconds(), now
}

// Statements returns the offered work in statements that run at the same time.
func (l *Load) Statements(now catalog.Instant) float64 {
	return l.decayed(now) * math.Ln2 / loadHalfLife.Seconds()
}

func (l *Load) decayed(now catalog.Instant) float64 {
	return l.sum * math.Exp2(-now.Sub(l.at).Seconds()/loadHalfLife.Seconds())
}

const (
	// latencyDivisor is the divisor of the step of a mean towards a sample.
	latencyDivisor = 8
	// latencyTrust is how long a mean without new samples is used unchanged. A
	// few reads a second are enough to keep it current.
	latencyTrust = time.Second
	// latencyHalfLife is the time after latencyTrust until a mean has halved, so
	// that an upstream which was slow is tried again.
	latencyHalfLife = 2 * time.Second
	// lowestDivisor is the divisor of the step by which the lowest latency rises
	// with each sample above it.
	lowestDivisor = 256
)

// Latency is a moving mean of a duration, and the lowest recent value.
type Latency struct {
	mean, lowest time.Duration
	at           catalog.Instant
	isKnown      bool
}

// Record adds a sample.
func (l *Latency) Record(sample time.Duration, now catalog.Instant) {
	if !l.isKnown {
		*l = Latency{mean: sample, lowest: sample, at: now, isKnown: true}
		return
	}
	old := l.Expected(now)
	l.mean, l.at = old+(sample-old)/latencyDivisor, now
	l.lowest = min(sample, l.lowest+l.lowest/lowestDivisor)
}

// Expected returns the mean, reduced by its age once it is older than
// latencyTrust. It is zero before the first sample.
func (l *Latency) Expected(now catalog.Instant) time.Duration {
	age := now.Sub(l.at) - latencyTrust
	if age <= 0 {
		return l.mean
	}
	return time.Duration(float64(l.mean) / (1 + float64(age)/float64(latencyHalfLife)))
}

// Lowest returns the lowest recent value, and false before the first sample.
func (l *Latency) Lowest() (time.Duration, bool) {
	return l.lowest, l.isKnown
}

// Spread selects one of several upstreams by their expected times, given a random
// number. The probability of each is in proportion to the inverse square of its
// time, so that callers don't all move to the upstream that was the fastest last.
// It returns 0 if there are no times.
func Spread(times []time.Duration, random uint64) int {
	total := 0.0
	for _, t := range times {
		total += spreadWeight(t)
	}
	at := unit(random) * total
	for n, t := range times {
		if at -= spreadWeight(t); at < 0 {
			return n
		}
	}
	return max(len(times)-1, 0)
}

func spreadWeight(t time.Duration) float64 {
	ms := max(t.Seconds()*1000, 1)
	return 1 / (ms * ms)
}

// unit returns a number from 0 up to but not including 1.
func unit(random uint64) float64 {
	return float64(random>>11) / (1 << 53)
}
