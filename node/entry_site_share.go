package node

import (
	"cmp"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// With BalanceSites, the sites share a saturated primary by what their callers
// ask of it. Each entry measures that and reports it to control, whose leader
// assigns the shares. No request waits for a share: without one, every site has
// the same.

const (
	// minReportedWork is the number of statements up to which an entry's work for
	// a service is not reported. It keeps reports small while nothing is scarce.
	minReportedWork = 1
	// maxReportedServices bounds the services in a report, of which those with the
	// most work are kept.
	maxReportedServices = 16
	// sharePhases is the number of phases in which the fraction of a statement of
	// an entry's share is rounded up or down. Each takes sharePhaseLength.
	sharePhases      = 8
	sharePhaseLength = 50 * time.Millisecond
)

// recordPrimaryWork counts a request that needs the primary, once.
func (e *Entry) recordPrimaryWork(r *entryRequest) {
	if !e.options.BalanceSites || r.workCounted {
		return
	}
	r.workCounted = true
	b := &r.service.balance
	b.work.Add(max(b.primaryTime, minLatency), e.now)
}

// addWork adds the work for saturated primaries to a report.
func (e *Entry) addWork(m *wire.Report) {
	if !e.options.BalanceSites {
		return
	}
	for _, s := range e.report.services {
		if asked := s.balance.work.Statements(e.now); s.accepted && asked > minReportedWork {
			m.Work = append(m.Work, wire.ServiceWork{Service: s.id, Asked: float32(asked)})
		}
	}
	if len(m.Work) > maxReportedServices {
		slices.SortStableFunc(m.Work, func(a, b wire.ServiceWork) int { return cmp.Compare(b.Asked, a.Asked) })
		m.Work = m.Work[:maxReportedServices]
	}
}

// applySiteShares records the site's shares. Their length counts from sent, which
// is when the report that control answers was sent.
func (e *Entry) applySiteShares(a wire.Answer, sent catalog.Instant) {
	if !e.options.BalanceSites {
		return
	}
	for _, h := range a.SiteShares {
		if s := e.services[h.Service]; s != nil {
			e.markDirty(s)
			s.balance.share, s.balance.shareUntil = float64(h.Statements), sent.Add(h.Length-e.options.Timings.MaxDrift)
		}
	}
}

// sharedLimit returns how many statements this entry may run at the upstream by
// the site's share, which the owners divide evenly. It returns false if no share
// is in force. The fraction of a statement is rounded up for a part of the time, so
// that the mean is the share.
func (e *Entry) sharedLimit(i *entryInstance, owners int) (int, bool) {
	b := &i.service.balance
	if b.shareUntil == 0 || !e.now.Before(b.shareUntil) || i.id != i.service.primary.Instance {
		return 0, false
	}
	phase := float64(int64(e.now)/int64(sharePhaseLength)%sharePhases) / sharePhases
	return max(int(b.share/float64(owners)+phase), 1), true
}
