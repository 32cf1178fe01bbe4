package node

import (
	"sort"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// An entry subscribes to a service if the entry has run requests of that service
// within serviceIdleTimeout or is one of the site's observers of it. Only
// subscribed entries request leases, hold connections and send probes.

// updateSubscription decides whether the entry subscribes to a service and
// whether reports cover it.
func (e *Entry) updateSubscription(s *entryService) {
	isUsed := e.isInUse(s)
	if isUsed {
		e.scheduleWake(s.usedAt.Add(serviceIdleTimeout))
	}
	wasSubscribed := s.isSubscribed
	s.isSubscribed = s.accepted && (s.isObserved || isUsed || s.hasWork())
	if s.isSubscribed && !wasSubscribed {
		e.report.urgent = true
		s.lastLeaseEpoch = 0
		if s.noLeaseSince != 0 {
			s.noLeaseSince = e.now
		}
	}
	e.setReported(s, s.isSubscribed || s.hasConns())
}

// hasWork reports whether requests or transactions of callers are in progress
// or waiting.
func (s *entryService) hasWork() bool {
	if len(s.running) > 0 || len(s.replicating) > 0 || s.waitingCount() > 0 {
		return true
	}
	for _, i := range s.instances {
		for _, c := range i.conns {
			if c.inTransaction && c.state != connClosing {
				return true
			}
		}
	}
	return false
}

func (s *entryService) hasConns() bool {
	for _, i := range s.instances {
		if len(i.conns) > 0 {
			return true
		}
	}
	return false
}

// setReported adds a service to those that reports cover, or removes it.
func (e *Entry) setReported(s *entryService, add bool) {
	if s.isReported == add {
		return
	}
	s.isReported = add
	p := &e.report
	n := sort.Search(len(p.services), func(i int) bool { return p.services[i].id >= s.id })
	if !add {
		p.services = append(p.services[:n], p.services[n+1:]...)
		return
	}
	p.services = append(p.services, nil)
	copy(p.services[n+1:], p.services[n:])
	p.services[n] = s
}

// canOmitObservation reports whether a report may omit the observation of an
// upstream. It may if the upstream is still healthy in the same role, and the
// present leader has acknowledged a report of the last second that said so.
func (e *Entry) canOmitObservation(i *entryInstance) bool {
	return e.isReportedAlive(i, healthyRepeatInterval) && e.now.Sub(i.aliveAt) <= 2*e.options.Timings.ProbeInterval &&
		!isIdleAnswer(i.reportedAt.Sub(i.reportedAliveAt), e.options.Timings)
}

// isReportedAlive reports whether the upstream is alive in the same role as in a
// report that the present leader has acknowledged and that is at most as old as
// the interval.
func (e *Entry) isReportedAlive(i *entryInstance, interval time.Duration) bool {
	p := &e.report
	return p.leader != "" && p.acknowledged[i.reportedIn] && e.now.Before(i.reportedAt.Add(interval)) &&
		i.evidence == wire.EvidenceAlive && i.reportedEvidence == wire.EvidenceAlive && i.reportedRole == i.role
}

// idleRepeatInterval is how long a report may omit an upstream that was not used
// since it was reported. Nothing is derived from such an omission.
const idleRepeatInterval = 5 * time.Second

// isUnchangedIdle reports whether control knows an upstream as idle and it has not
// answered since. An entry owns dozens of services of a large fleet, most of them
// without requests, and repeating them in each report costs it 20 kB a second.
func (e *Entry) isUnchangedIdle(i *entryInstance) bool {
	return e.isReportedAlive(i, idleRepeatInterval) && i.aliveAt == i.reportedAliveAt &&
		isIdleAnswer(i.reportedAt.Sub(i.reportedAliveAt), e.options.Timings)
}

// isIdleAnswer reports whether an upstream whose last answer was this old when it
// was reported counts as idle. AliveWithin does not apply to such an observation.
func isIdleAnswer(age time.Duration, t catalog.Timings) bool {
	return age > 2*t.ProbeInterval
}

// addObservation adds the observation of an upstream to a report unless control
// does not need it.
func (e *Entry) addObservation(m *wire.Report, i *entryInstance) {
	if e.options.UpstreamsFromControl && i.id != i.service.primary.Instance && !e.isFailing(i) {
		// Control queries the replicas itself when it has to elect one of them.
		return
	}
	if e.isUnchangedIdle(i) {
		return
	}
	if e.canOmitObservation(i) {
		m.AliveWithin = max(m.AliveWithin, e.now.Sub(i.aliveAt), 1)
		return
	}
	i.reportedEvidence, i.reportedRole, i.reportedAt, i.reportedIn = i.evidence, i.role, e.now, m.Sequence
	i.reportedAliveAt = i.aliveAt
	m.Observations = append(m.Observations, e.newObservation(i))
}

// addDemand adds the demand for connections to an upstream to a report. An
// upstream of the own site is omitted while the local share, which is never
// lent to other entries, suffices.
func (e *Entry) addDemand(m *wire.Report, i *entryInstance) {
	e.recordDemand(i)
	desired, held := e.desiredConns(i), len(i.conns)
	i.neededAtReport = e.neededConns(i)
	if max(desired, held) > i.localShare() {
		d := wire.Demand{
			Service: i.service.id, Instance: i.id, Held: held, Desired: desired,
			Idle: e.options.UpstreamsFromControl && i.recentDemand() == 0,
		}
		if e.options.UpstreamsFromControl && i.servesOrganisations() {
			d.Kept = max(desired-i.recentDemand(), 0)
		}
		m.Demands = append(m.Demands, d)
	}
}
