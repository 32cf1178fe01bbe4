package node

import (
	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/ratelimit"
	"github.com/kingcupknot/kingcupknot/wire"
)

// The entry that a caller is connected to decides whether an operation is within
// the limit of the caller's organisation. Package ratelimit has the decision.

const overLimitReason = "the organisation is over its limit"

// entryLimits is the state of the entry that concerns the limits of
// organisations.
type entryLimits struct {
	admission *ratelimit.Admission
	// entryCount is the number of entries of all sites that control last sent,
	// zero before.
	entryCount int
}

// refuseOverLimit counts the operation that a request of this entry's callers
// begins. It refuses the request and returns true if the operation is over the
// limit of its organisation.
func (e *Entry) refuseOverLimit(r *entryRequest) bool {
	if r.Organisation == "" || r.Forwarded || r.Kind == KindInTransaction {
		return false
	}
	o, _ := e.organisations.ByID(r.Organisation)
	if o.Rate <= 0 {
		return false
	}
	random := float64(e.nextRandom()>>11) / (1 << 53)
	ok, after := e.limits.admission.Admit(e.now, o.ID, ratelimit.Limit{Rate: o.Rate, Burst: o.Burst}, random)
	if ok {
		return false
	}
	e.increment("organisation-over-limit")
	e.answer(r, AnswerRequest{
		Request: r.Request, Verdict: VerdictNotRun, Reason: overLimitReason, RetryAfter: clampRetry(after),
		// Other entries may have contact to control, and operations left.
		RetryElsewhere: e.limits.admission.IsIsolated(e.now, o.ID),
	})
	return true
}

// entryCount returns the number of entries of all sites. Until control has sent
// it, all sites are assumed to have as many as this one.
func (e *Entry) entryCount() int {
	if e.limits.entryCount > 0 {
		return e.limits.entryCount
	}
	return max(len(e.siteVMs), len(e.owners.entries)) * max(e.owners.sites, 1)
}

// addUsage adds the organisations with recent work to a report.
func (e *Entry) addUsage(m *wire.Report) {
	if e.organisations == nil {
		return
	}
	m.EntryCount = e.limits.entryCount
	for _, u := range e.limits.admission.Usage(e.now) {
		m.Usage = append(m.Usage, wire.OrganisationUsage{Organisation: u.Organisation, Rate: float32(u.Asked), Refused: float32(u.Refused)})
	}
}

// applyLimits applies the shares of an answer to the report that was sent at the
// given time. They end here before control considers them expired, as leases do.
func (e *Entry) applyLimits(a wire.Answer, sent catalog.Instant) {
	l := &e.limits
	if a.EntryCount > 0 {
		l.entryCount = a.EntryCount
	}
	if a.Version != 0 {
		l.admission.SetContact(sent, e.entryCount())
	}
	for _, v := range a.Limits {
		share := ratelimit.Share{Organisation: v.Organisation, Rate: float64(v.Rate), Burst: float64(v.Burst)}
		l.admission.SetShare(e.now, share, sent.Add(v.Length-e.options.Timings.MaxDrift))
	}
}
