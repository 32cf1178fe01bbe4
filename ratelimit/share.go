package ratelimit

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

const (
	// shareTolerance is the change of a share that is not sent, relative to the
	// share.
	shareTolerance = 0.05
	// idleTolerance replaces it at an entry without work, whose share is not in
	// use.
	idleTolerance = 0.5
	// shareBurstTime is the time of its rate that an entry may use at once.
	shareBurstTime = 250 * time.Millisecond
	// maxShares is the highest number of shares in an answer. At five answers per
	// second they take a tenth of a link of 1.4 Mbit/s.
	maxShares = 100
)

// Shares returns the shares that the entry must get with the answer to its last
// report, and records them as sent: those of limited organisations that have
// changed or will expire. Organisations with work at the entry come first.
func (a *Allocator) Shares(now catalog.Instant, entry catalog.VMID) []Share {
	u := a.entries[entry]
	if u == nil {
		return nil
	}
	for _, p := range a.scarce {
		a.record(now, entry, u, p.id, p.limit)
	}
	var out []Share
	for _, isIdle := range []bool{false, true} {
		for _, r := range u.records {
			if len(out) == maxShares {
				return out
			}
			if r.pool.isLimited && isIdle == (r.asked == 0) {
				out = a.appendShare(out, now, r)
			}
		}
	}
	return out
}

// appendShare adds the share of an organisation at an entry if it must be sent.
func (a *Allocator) appendShare(out []Share, now catalog.Instant, r *record) []Share {
	rate := r.pool.shareOf(r, a.entryCount)
	if a.mayOverlap(now) {
		rate = min(rate, max(r.asked, r.average), r.pool.limit.Rate/float64(a.entryCount))
	}
	tolerance, renewAfter := shareTolerance, a.options.ShareLength/2
	if r.asked == 0 {
		tolerance, renewAfter = idleTolerance, a.options.ShareLength*4/5
	}
	isSame := rate >= r.share*(1-tolerance) && rate <= r.share*(1+tolerance)
	if r.sentAt != 0 && isSame && now.Sub(r.sentAt) <= renewAfter {
		return out
	}
	r.share, r.sentAt = rate, now
	return append(out, Share{Organisation: r.pool.id, Rate: rate, Burst: max(1, rate*shareBurstTime.Seconds())})
}
