package balance

import (
	"math"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

const (
	// spillInterval is the time between two changes of the fraction.
	spillInterval = 100 * time.Millisecond
	// maxFraction keeps a few reads in the site, so that the time at home stays
	// measured.
	maxFraction = 0.95
	// benefit is the part of the time at home that the time elsewhere must not
	// exceed for more reads to leave. Above noBenefit, reads come back.
	benefit   = 0.8
	noBenefit = 0.9
	// returnBelow is the part of the target below which the site counts as having
	// capacity to spare. Between it and the target the fraction stays the same.
	returnBelow = 0.75
	// gain is the change of the fraction in an interval for a relative distance from
	// the band in which it stays the same, and maxChange bounds it to a tenth in a
	// second.
	gain      = 0.02
	maxChange = 0.01
	// urgent is the time at home, in targets, above which the fraction rises by up
	// to maxIncrease in an interval, provided that the time elsewhere is at most
	// the limit divided by urgent.
	urgent      = 2
	maxIncrease = 0.05
	// damping is the change of the fraction for a relative change of the time at
	// home. A queue at home grows while too few reads leave and keeps its length
	// when enough do; without damping the fraction would rise until the queue is
	// gone and so overshoot.
	damping = 0.1
	// smoothing is the weight of the new times against the mean so far.
	smoothing = 0.2
	// maxMissed is the number of intervals for which an update accounts if there
	// were no reads for a while.
	maxMissed = 20
)

// View is what an entry knows of a service when it updates the fraction.
type View struct {
	// Target is the time up to which a read is served well in its own site.
	// AwayLimit is the time elsewhere above which the other sites are short of
	// capacity themselves.
	Target, AwayLimit time.Duration
	// Home is the time that a read is expected to take in its own site, Away at
	// the best upstream elsewhere, with the network between. Away is zero if no
	// upstream elsewhere may get reads.
	Home, Away time.Duration
}

// Spill controls the fraction of a service's reads that leaves an entry's site.
// The zero value lets no read leave.
type Spill struct {
	fraction float64
	// home and away are logarithms of the smoothed times in seconds.
	home, away float64
	// updatedAt is the end of the last interval that was accounted for.
	updatedAt catalog.Instant
	isStarted bool
}

// Fraction returns the fraction of reads that leaves the site, from 0 to 1.
func (s *Spill) Fraction() float64 { return s.fraction }

// Leaves reports whether a read leaves the site, given a random number.
func (s *Spill) Leaves(random uint64) bool { return unit(random) < s.fraction }

// Drop keeps all reads in the site at once, because the upstream that they go to
// has failed or takes no work. The fraction may rise again from the next interval
// on if another upstream elsewhere has capacity.
func (s *Spill) Drop(now catalog.Instant) {
	s.fraction, s.updatedAt, s.isStarted = 0, now, false
}

// IsDue reports whether an update would change anything.
func (s *Spill) IsDue(now catalog.Instant) bool {
	return !s.isStarted || now.Sub(s.updatedAt) >= spillInterval
}

// Update adjusts the fraction for the intervals that have passed since the last
// update.
func (s *Spill) Update(v View, now catalog.Instant) {
	if !s.IsDue(now) {
		return
	}
	if v.Away <= 0 {
		s.Drop(now)
		return
	}
	home, away := math.Log(max(v.Home, time.Microsecond).Seconds()), math.Log(v.Away.Seconds())
	if !s.isStarted {
		s.home, s.away, s.updatedAt, s.isStarted = home, away, now, true
		return
	}
	for n := now.Sub(s.updatedAt) / spillInterval; n > maxMissed; n-- {
		s.updatedAt = s.updatedAt.Add(spillInterval)
	}
	for ; now.Sub(s.updatedAt) >= spillInterval; s.updatedAt = s.updatedAt.Add(spillInterval) {
		s.advance(v, home, away)
	}
}

// advance accounts for one interval. All distances are differences of logarithms,
// which are relative.
func (s *Spill) advance(v View, home, away float64) {
	before := s.home
	s.home += (home - s.home) * smoothing
	s.away += (away - s.away) * smoothing
	limit := math.Log(max(v.AwayLimit, time.Microsecond).Seconds())
	if s.away > limit {
		s.fraction = 0
		return
	}
	over, gained := s.home-math.Log(max(v.Target, time.Microsecond).Seconds()), s.home-s.away
	spare := math.Log(returnBelow) - over
	benefits := gained + math.Log(benefit)
	change := 0.0
	switch {
	case spare > 0 || gained < -math.Log(noBenefit):
		change = -gain * max(spare, -math.Log(noBenefit)-gained)
	case over > 0 && benefits > 0 && s.away <= limit+math.Log(returnBelow):
		change = gain * min(over, benefits)
	}
	if s.home < before || spare < 0 && benefits > 0 {
		change += damping * (s.home - before)
	}
	change = min(max(change, -maxChange), maxChange)
	if over > math.Log(urgent) && benefits > 0 && s.away <= limit-math.Log(urgent) {
		change = maxIncrease * min(over, benefits, 1)
	}
	s.fraction = min(max(s.fraction+change, 0), maxFraction)
}
