package node

import (
	"sort"

	"github.com/kingcupknot/kingcupknot/wire"
)

// An entry subscribes to a service while it has callers or is one of the
// site's observers. Only then it asks for leases, holds connections and probes.

// subscribe notes whether the entry subscribes to a service and whether
// reports have something to say of it.
func (e *Entry) subscribe(s *entryService) {
	used := e.inUse(s)
	if used {
		e.wake(s.used.Add(usedBound))
	}
	was := s.isSubscribed
	s.isSubscribed = s.accepted && (s.isObserved || used || s.busy())
	if s.isSubscribed && !was {
		e.report.urgent = true
		s.ledEpoch = 0
		if s.unledSince != 0 {
			s.unledSince = e.now
		}
	}
	e.list(s, s.isSubscribed || s.hasConns())
}

// busy reports whether callers' work is in progress or waits.
func (s *entryService) busy() bool {
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

// list adds a service to those of the reports, or drops it.
func (e *Entry) list(s *entryService, add bool) {
	if s.isListed == add {
		return
	}
	s.isListed = add
	p := &e.report
	n := sort.Search(len(p.listed), func(i int) bool { return p.listed[i].id >= s.id })
	if !add {
		p.listed = append(p.listed[:n], p.listed[n+1:]...)
		return
	}
	p.listed = append(p.listed, nil)
	copy(p.listed[n+1:], p.listed[n:])
	p.listed[n] = s
}

// canOmit reports whether a report may leave out what was observed of an
// upstream: it is as healthy as the present leader was told within the last
// second, in a report that the leader is known to have taken.
func (e *Entry) canOmit(i *entryInstance) bool {
	p := &e.report
	return p.leader != "" && p.taken[i.toldIn] && e.now.Before(i.toldAt.Add(repeatHealthy)) &&
		i.evidence == wire.EvidenceAlive && i.told == wire.EvidenceAlive && i.toldRole == i.role &&
		e.now.Sub(i.alive) <= 2*e.options.Timings.ProbeInterval
}

// reportObservation adds what was seen of an upstream, unless control has it.
func (e *Entry) reportObservation(m *wire.Report, i *entryInstance) {
	if e.options.UpstreamsFromControl && i.id != i.service.primary.Instance && !e.isBad(i) {
		// Control asks replicas itself when it has to choose one.
		return
	}
	if e.canOmit(i) {
		m.AliveWithin = max(m.AliveWithin, e.now.Sub(i.alive), 1)
		return
	}
	i.told, i.toldRole, i.toldAt, i.toldIn = i.evidence, i.role, e.now, m.Sequence
	m.Observations = append(m.Observations, e.observation(i))
}

// reportWant asks for connections. An upstream of the own site is left out
// while the standing share, which is never lent to others, suffices.
func (e *Entry) reportWant(m *wire.Report, i *entryInstance) {
	e.noteDemand(i)
	wanted, held := e.wanted(i), len(i.conns)
	i.wantedTold = e.wantedNow(i)
	if max(wanted, held) > i.standingShare() {
		m.Demands = append(m.Demands, wire.Demand{
			Service: i.service.id, Instance: i.id, Held: held, Desired: wanted,
			Idle: e.options.UpstreamsFromControl && i.demanded() == 0,
		})
	}
}
