package node

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	// reportsKept is how many reports may be answered late.
	reportsKept = 64
	// leaderReports is how many unanswered reports make the leader unknown.
	leaderReports = 3
)

// entryReports is the exchange of reports and answers with control.
type entryReports struct {
	leader   catalog.VMID
	sequence uint64
	// sent says when the reports were sent whose answers would be taken.
	sent map[uint64]catalog.Instant
	// answered is the highest sequence answered, answeredAt when that
	// report was sent.
	answered   uint64
	answeredAt catalog.Instant
	unanswered int
	last       catalog.Instant
	wasSent    bool
	next       catalog.Instant
	urgent     bool
	// pending are the instances whose announcement control has to hear.
	pending []*entryInstance
}

// newEntryReports starts the sequence at a number drawn from the life, so that
// an answer to a report of an earlier life is not taken for one of this.
func newEntryReports(life uint64) entryReports {
	var b [8]byte
	for n := range b {
		b[n] = byte(life >> (8 * n))
	}
	start := xxhash.Sum64(b[:]) >> 16
	return entryReports{sequence: start, answered: start, sent: map[uint64]catalog.Instant{}}
}

func (e *Entry) settleReport() {
	p := &e.report
	if e.stopped {
		return
	}
	at := p.next
	if p.urgent {
		at = e.now
		if p.wasSent && p.last.Add(urgentReport).After(e.now) {
			at = p.last.Add(urgentReport)
		}
		if p.next.Before(at) {
			at = p.next
		}
	}
	if at.After(e.now) {
		e.wake(at)
		return
	}
	e.sendReport()
	e.wake(p.next)
}

func (e *Entry) sendReport() {
	p := &e.report
	p.sequence++
	p.urgent = false
	p.last, p.wasSent = e.now, true
	p.next = e.now.Add(e.options.Timings.Report)
	p.sent[p.sequence] = e.now
	delete(p.sent, p.sequence-reportsKept)
	p.unanswered++
	if p.unanswered > leaderReports {
		p.leader = ""
	}
	m := e.buildReport()
	if p.leader != "" {
		e.emit(SendPeer{To: p.leader, Message: wire.Message{Report: m}})
		return
	}
	for _, vm := range e.options.Control {
		e.emit(SendPeer{To: vm, Message: wire.Message{Report: m}})
	}
}

func (e *Entry) buildReport() *wire.Report {
	m := &wire.Report{
		VM: e.options.VM, Site: e.options.Site, Life: e.options.Life,
		Sequence: e.report.sequence, Settings: e.version, Leaving: e.leaving && !e.writes(),
	}
	for _, id := range e.order {
		s := e.services[id]
		if s.accepted {
			m.Services = append(m.Services, id)
		}
		for _, i := range s.instances {
			e.reportInstance(m, s, i)
		}
	}
	return m
}

func (e *Entry) reportInstance(m *wire.Report, s *entryService, i *entryInstance) {
	if i.pending {
		m.Instances = append(m.Instances, i.direct)
		if i.includedIn == 0 {
			i.includedIn = m.Sequence
		}
	}
	if !s.accepted {
		return
	}
	if e.observes(s.id) {
		m.Observations = append(m.Observations, e.observation(i))
	}
	e.noteDemand(i)
	wanted := e.wanted(i)
	i.wantedTold = wanted
	if wanted > 0 || len(i.conns) > 0 {
		m.Wants = append(m.Wants, wire.Want{
			Service: s.id, Instance: i.id, Held: len(i.conns), Wanted: wanted,
		})
	}
}

func (e *Entry) observation(i *entryInstance) wire.Observation {
	o := wire.Observation{
		Service: i.service.id, Instance: i.id, Evidence: i.evidence,
		Age: e.now.Sub(i.evidenceAt), AliveAge: -1, Role: i.role, Position: i.position,
	}
	if i.evidence == wire.EvidenceNone {
		o.Age = 0
	}
	if i.wasAlive {
		o.AliveAge = e.now.Sub(i.alive)
	}
	return o
}

func (e *Entry) takeAnswer(from catalog.VMID, a wire.Answer) {
	p := &e.report
	sent, ok := p.sent[a.Sequence]
	if a.Sequence == p.answered && from == p.leader && !a.Refused {
		// Control pushes what changed as another answer to the last report.
		sent, ok = p.answeredAt, true
	}
	if !ok {
		return
	}
	if a.Refused {
		e.takeRefusal(from, a)
		return
	}
	if a.Sequence < p.answered {
		return
	}
	p.answered, p.answeredAt, p.unanswered, p.leader = a.Sequence, sent, 0, from
	for n := range p.sent {
		if n <= a.Sequence {
			delete(p.sent, n)
		}
	}
	e.takeSettings(a)
	for _, l := range a.Leases {
		e.takeLease(l, sent)
	}
	for _, g := range a.Grants {
		e.takeGrant(g, sent)
	}
	e.markReported(a.Sequence)
}

func (e *Entry) takeRefusal(from catalog.VMID, a wire.Answer) {
	p := &e.report
	if p.leader != "" && p.leader != from {
		return
	}
	if a.Leader == p.leader && a.Leader != "" {
		return
	}
	p.leader = ""
	if a.Leader != "" && a.Leader != from {
		p.leader = a.Leader
		p.urgent = p.unanswered <= leaderReports
	}
}

func (e *Entry) markReported(sequence uint64) {
	kept := e.report.pending[:0]
	for _, i := range e.report.pending {
		if !i.pending || (i.includedIn != 0 && i.includedIn <= sequence) {
			i.pending = false
			continue
		}
		kept = append(kept, i)
	}
	e.report.pending = kept
}

// cutOff reports whether control has been silent for so long that no lease is
// to be expected soon.
func (e *Entry) cutOff() bool {
	t := e.options.Timings
	return e.now.Sub(e.report.answeredAt) > t.Lease+2*t.Election
}

func clampRetry(d time.Duration) time.Duration {
	return max(retryLeast, min(d, retryMost))
}
