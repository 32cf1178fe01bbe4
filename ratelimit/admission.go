package ratelimit

import (
	"slices"
	"strings"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

const (
	// meterTime is the time constant of the rates that an entry reports.
	meterTime = 250 * time.Millisecond
	// minReportedRate is the lowest rate that is reported. A single operation
	// stays in the reports for 0.6 s, by when nine tenths of it have been
	// counted.
	minReportedRate = 0.4
	// contactIntervals is the number of report intervals after which an entry
	// without an answer has no contact to the leader. A usual change of the
	// leader takes less.
	contactIntervals = 3.0
	// Without a share, an entry may use openEven times its even share plus
	// openHistory times its usual load. A surge of all entries up to that rate
	// stays within the rule until the leader's shares arrive, 0.4 s later.
	openEven    = 3.0
	openHistory = 2.0
	// openDepth is the depth of that bucket, in operations, to which
	// openDepthTime of its rate is added. It lets the random clusters of an entry
	// with few callers through.
	openDepth     = 3.0
	openDepthTime = 250 * time.Millisecond
	// shareStartTime is the time of its rate that an entry may use at once when it
	// gets its first share.
	shareStartTime = time.Second
	// isolatedDepthTime is the time of its rate that an entry without contact
	// to the leader may use at once, beside its part of the burst. It is within
	// the tenth by which 5 s may exceed the limit.
	isolatedDepthTime = 400 * time.Millisecond
	// usualFactor times the average load is still considered usual, so that it
	// leaves no debt in the bucket for the time without contact.
	usualFactor = 1.3
	// absentPart is the part of its guaranteed rate that an entry without contact
	// keeps when the leader no longer reserves that rate. All entries together
	// are then within the tenth by which 5 s may exceed the limit.
	absentPart = 0.05
	// isolatedFloorTime limits the debt from operations admitted before the
	// contact was lost.
	isolatedFloorTime = 5 * time.Second
	// startTime is how long after its start an entry has no burst beyond one
	// operation. It is the window of the rule.
	startTime = 5 * time.Second
	// startBurstTime is the time of its even share that an entry may use at once
	// within startTime. After a loss of power all callers return at once. It is
	// less than the time that a restart takes, in which nothing is admitted.
	startBurstTime = 500 * time.Millisecond
	// forgetAfter is how long an organisation without work is remembered.
	forgetAfter = time.Minute
	// maxRetry is the longest retry time.
	maxRetry = 5 * time.Second
)

// Admission decides at one entry which operations are within the limit.
type Admission struct {
	reportInterval time.Duration
	// startedAt is when the entry started. A new entry has no burst beyond one
	// operation.
	startedAt catalog.Instant
	// contactAt is when the newest report that a leader has answered was sent.
	contactAt     catalog.Instant
	entries       int
	organisations map[catalog.OrganisationID]*admitted
	nextForgetAt  catalog.Instant
}

// admitted is the state of one organisation at an entry.
type admitted struct {
	limit          Limit
	asked, refused meter
	// history is the average of the admitted rate.
	history meter
	// open is the bucket used with a share, and without one while there is
	// contact to a leader.
	open bucket
	// isolated is the bucket used without contact. It counts all operations
	// that are admitted, so it holds no burst directly after the loss of contact
	// if the organisation used more than its guaranteed rate before.
	isolated bucket
	// threshold is the number of tokens, from 0 to 1, that the isolated bucket
	// needs for the next operation, drawn at thresholdAt. It is random, so that
	// entries whose part of the burst is less than one operation together use
	// about the sum of the parts. It is drawn again after each operation, and
	// once per window.
	threshold   float64
	thresholdAt catalog.Instant
	share       Share
	shareUntil  catalog.Instant
	usedAt      catalog.Instant
	// retryAt is the latest time for which a retry was suggested.
	retryAt catalog.Instant
}

// NewAdmission returns the state of an entry that starts at now and has no contact
// to a leader yet.
func NewAdmission(reportInterval time.Duration, now catalog.Instant) *Admission {
	return &Admission{
		reportInterval: reportInterval, startedAt: now, contactAt: now.Add(-startTime), entries: 1,
		organisations: map[catalog.OrganisationID]*admitted{},
	}
}

// SetContact records that a leader has answered a report that was sent at the
// given time, and the number of entries of the system.
func (a *Admission) SetContact(sent catalog.Instant, entries int) {
	a.contactAt = max(a.contactAt, sent)
	a.entries = max(entries, 1)
}

// SetShare applies a share that the leader assigned. An entry that had none keeps
// at most the tokens of shareStartTime: otherwise entries with few callers would
// each run another operation when they are told that the limit is used up.
func (a *Admission) SetShare(now catalog.Instant, s Share, until catalog.Instant) {
	o := a.organisations[s.Organisation]
	if o == nil {
		// The limit is set by the first operation.
		o = &admitted{open: bucket{at: now}, isolated: bucket{at: now}, thresholdAt: now, usedAt: now}
		a.organisations[s.Organisation] = o
	}
	if until.Before(o.shareUntil) {
		return
	}
	if !now.Before(o.shareUntil) {
		o.open.refill(now, 0, s.Rate*shareStartTime.Seconds())
	}
	o.share, o.shareUntil = s, until
}

// Admit counts an operation and reports whether it is within the limit. If it is
// not, it also returns after what time a retry is within the limit, at most 5 s.
// Random is a random number from 0 to 1.
func (a *Admission) Admit(now catalog.Instant, id catalog.OrganisationID, limit Limit, random float64) (bool, time.Duration) {
	if limit.Rate <= 0 {
		return true, 0
	}
	o := a.organisation(now, id, limit, random)
	o.asked.add(now, meterTime)
	b, rate, needed := a.refill(now, o)
	if b.tokens < needed && b == &o.isolated && now.Sub(o.thresholdAt) > startTime {
		o.threshold, o.thresholdAt, needed = random, now, random
	}
	if b.tokens < needed {
		o.refused.add(now, meterTime)
		return false, o.retryAfter(now, b.timeUntil(needed, rate), rate)
	}
	o.open.tokens--
	o.isolated.tokens = max(o.isolated.tokens-1, -isolatedFloorTime.Seconds()*guaranteedRate(limit, o.history.rate, a.entries))
	if b == &o.isolated {
		o.threshold, o.thresholdAt = random, now
	}
	o.history.add(now, historyTime)
	return true, 0
}

// organisation returns the state of an organisation, for the limit in force.
func (a *Admission) organisation(now catalog.Instant, id catalog.OrganisationID, limit Limit, random float64) *admitted {
	a.forget(now)
	o := a.organisations[id]
	if o == nil {
		o = &admitted{limit: limit, threshold: random, thresholdAt: now}
		o.open = bucket{tokens: openDepth, at: now}
		if now.Sub(a.startedAt) < startTime {
			o.open.tokens = 1 + limit.Rate/float64(a.entries)*startBurstTime.Seconds()
		}
		o.isolated.at = now
		a.organisations[id] = o
	}
	if limit.Rate < o.limit.Rate {
		// The histories of all entries must not add up to more than the rate.
		o.history.rate *= limit.Rate / o.limit.Rate
	}
	o.limit, o.usedAt = limit, now
	return o
}

// refill brings both buckets up to date. It returns the bucket that decides now,
// with its rate and the number of tokens that an operation needs.
func (a *Admission) refill(now catalog.Instant, o *admitted) (b *bucket, rate, needed float64) {
	history := o.history.value(now, historyTime)
	guaranteed := guaranteedRate(o.limit, history, a.entries)
	if now.Sub(a.contactAt) > absenceTime {
		guaranteed *= absentPart
	}
	part := guaranteed / o.limit.Rate
	depth := part*(o.limit.Burst+slackTokens) + guaranteed*isolatedDepthTime.Seconds()
	refillRate := guaranteed
	if a.hasContact(now) {
		// An entry with many callers must not start without tokens.
		refillRate = max(guaranteed, usualFactor*history)
	}
	o.isolated.refill(now, refillRate, depth)
	if now.Before(o.shareUntil) {
		o.open.refill(now, o.share.Rate, o.share.Burst)
		return &o.open, o.share.Rate, 1
	}
	if !a.hasContact(now) {
		o.open.refill(now, guaranteed, max(1, depth))
		return &o.isolated, guaranteed, o.threshold
	}
	rate = openEven*o.limit.Rate/float64(a.entries) + openHistory*history
	o.open.refill(now, rate, openDepth+rate*openDepthTime.Seconds())
	return &o.open, rate, 1
}

// IsIsolated reports whether the entry has no contact to a leader and no share for an
// organisation, so that it only admits its guaranteed rate.
func (a *Admission) IsIsolated(now catalog.Instant, id catalog.OrganisationID) bool {
	o := a.organisations[id]
	return !a.hasContact(now) && (o == nil || !now.Before(o.shareUntil))
}

func (a *Admission) hasContact(now catalog.Instant) bool {
	return now.Sub(a.contactAt) <= time.Duration(contactIntervals*float64(a.reportInterval))
}

// retryAfter returns a time at which a token is expected that was not suggested
// to an earlier caller.
func (o *admitted) retryAfter(now catalog.Instant, wait time.Duration, rate float64) time.Duration {
	next := o.retryAt
	if rate > 0 {
		next = next.Add(time.Duration(min(1/rate, maxRetry.Seconds()) * float64(time.Second)))
	}
	o.retryAt = min(max(now.Add(wait), next), now.Add(maxRetry))
	return o.retryAt.Sub(now)
}

// Usage returns the organisations with recent work, sorted.
func (a *Admission) Usage(now catalog.Instant) []Usage {
	a.forget(now)
	var out []Usage
	for id, o := range a.organisations {
		if asked := o.asked.value(now, meterTime); asked >= minReportedRate {
			out = append(out, Usage{Organisation: id, Asked: asked, Refused: min(o.refused.value(now, meterTime), asked)})
		}
	}
	slices.SortFunc(out, func(x, y Usage) int { return strings.Compare(string(x.Organisation), string(y.Organisation)) })
	return out
}

// forget drops organisations that had no work for a while, once per second.
func (a *Admission) forget(now catalog.Instant) {
	if now.Before(a.nextForgetAt) {
		return
	}
	a.nextForgetAt = now.Add(time.Second)
	for id, o := range a.organisations {
		if now.Sub(o.usedAt) > forgetAfter {
			delete(a.organisations, id)
		}
	}
}
