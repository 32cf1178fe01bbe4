package node

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	// askOthersPart is the part of the time between two reports that the
	// leader's answer may take.
	askOthersPart = 2
	// seekFactor is how much more often an entry without a leader reports.
	seekFactor = 3
	// reportsKept is how many reports may be answered late.
	reportsKept = 64
	// leaderReports is how many unanswered reports make the leader unknown.
	leaderReports = 3
	// listedLeaderReports is the same where control alone tells of upstreams: a
	// lease then has to outlast a change of leader and this.
	listedLeaderReports = 2
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
	// wasAnswered is set once a leader answered a report.
	wasAnswered bool
	last        catalog.Instant
	wasSent     bool
	next        catalog.Instant
	urgent      bool
	// unsure is the last report, until it was sent to the others too.
	unsure *wire.Report
	// pending are the instances whose announcement control has to hear.
	pending []*entryInstance
	// wants were last told in the report wantsIn, at wantsAt.
	wants   []wire.Demand
	wantsIn uint64
	wantsAt catalog.Instant
	// taken are the reports that the present leader answered.
	taken map[uint64]bool
	// heardAt is when any control VM answered last, and ledAt when one did
	// that leads with a majority behind it or knows a leader.
	heardAt, ledAt catalog.Instant
	// listed are the services that reports speak of, ascending by id.
	listed []*entryService
}

// setLeader notes who leads. A new leader knows nothing of what was told.
func (p *entryReports) setLeader(vm catalog.VMID) {
	if vm != p.leader {
		p.leader = vm
		clear(p.taken)
	}
}

// newEntryReports starts the sequence at a number drawn from the life, so that
// an answer to a report of an earlier life is not taken for one of this.
func newEntryReports(life uint64) entryReports {
	var b [8]byte
	for n := range b {
		b[n] = byte(life >> (8 * n))
	}
	start := xxhash.Sum64(b[:]) >> 16
	return entryReports{sequence: start, answered: start, sent: map[uint64]catalog.Instant{}, taken: map[uint64]bool{}}
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

// askOthers sends a report that the leader leaves unanswered to the other
// control VMs too: one of them may lead by now, and all know whether there is a
// leader.
func (e *Entry) askOthers() {
	p := &e.report
	if !e.options.UpstreamsFromControl || e.stopped || p.unsure == nil || p.unanswered == 0 {
		return
	}
	if at := p.last.Add(e.options.Timings.ReportInterval / askOthersPart); at.After(e.now) {
		e.wake(at)
		return
	}
	for _, vm := range e.controlVMs() {
		if vm != p.leader {
			e.emit(SendMessage{To: vm, Message: wire.Message{Report: p.unsure}})
		}
	}
	p.unsure = nil
}

func (e *Entry) sendReport() {
	p := &e.report
	p.sequence++
	p.urgent = false
	p.last, p.wasSent = e.now, true
	p.next = e.now.Add(e.options.Timings.ReportInterval)
	if e.options.UpstreamsFromControl && p.leader == "" {
		// The next leader should be found soon after its election.
		p.next = e.now.Add(e.options.Timings.ReportInterval / seekFactor)
	}
	p.sent[p.sequence] = e.now
	delete(p.sent, p.sequence-reportsKept)
	delete(p.taken, p.sequence-reportsKept)
	p.unanswered++
	if p.unanswered > e.leaderReports() {
		p.setLeader("")
	}
	m := e.buildReport()
	p.unsure = nil
	if p.leader != "" {
		p.unsure = m
		e.emit(SendMessage{To: p.leader, Message: wire.Message{Report: m}})
		return
	}
	for _, vm := range e.controlVMs() {
		e.emit(SendMessage{To: vm, Message: wire.Message{Report: m}})
	}
}

func (e *Entry) leaderReports() int {
	if e.options.UpstreamsFromControl {
		return listedLeaderReports
	}
	return leaderReports
}

func (e *Entry) buildReport() *wire.Report {
	m := &wire.Report{
		VM: e.options.VM, Site: e.options.Site, Incarnation: e.options.Incarnation,
		Sequence: e.report.sequence, SettingsVersion: e.version, Leaving: e.leaving && !e.writes(),
		Upstreams: e.upstreamsAt,
	}
	for _, s := range e.report.listed {
		if s.isSubscribed {
			m.Services = append(m.Services, s.id)
		}
		for _, i := range s.instances {
			if s.isObserved && s.accepted {
				e.reportObservation(m, i)
			}
			e.reportWant(m, i)
		}
	}
	e.reportAnnouncements(m)
	e.shorten(m)
	return m
}

// shorten leaves out of a report what the present leader knows.
func (e *Entry) shorten(m *wire.Report) {
	if !e.options.UpstreamsFromControl {
		return
	}
	m.PrimariesMark, m.EntriesMark = e.markPrimaries(), e.owners.mark
	p := &e.report
	told := p.leader != "" && p.taken[p.wantsIn] && e.now.Before(p.wantsAt.Add(repeatWants))
	if told && sameWants(m.Demands, p.wants) && !e.lacksGrant(m.Demands) {
		m.Demands, m.WantsKept = nil, true
		return
	}
	p.wants, p.wantsIn, p.wantsAt = m.Demands, m.Sequence, e.now
}

// markPrimaries marks the primaries of the services subscribed to.
func (e *Entry) markPrimaries() uint64 {
	var primaries []catalog.Primary
	for _, s := range e.report.listed {
		if s.isSubscribed {
			primaries = append(primaries, s.primary)
		}
	}
	return wire.MarkPrimaries(primaries)
}

// repeatWants is how long a leader may go by what it was told an entry wants;
// short against a grant.
const repeatWants = 2 * time.Second

// sameWants reports whether nothing but the connections held has changed.
func sameWants(x, y []wire.Demand) bool {
	return slices.EqualFunc(x, y, func(a, b wire.Demand) bool {
		return a.Instance == b.Instance && a.Service == b.Service && a.Desired == b.Desired && a.Idle == b.Idle
	})
}

// lacksGrant reports whether the entry wants more of an upstream than it may
// hold.
func (e *Entry) lacksGrant(wants []wire.Demand) bool {
	return slices.ContainsFunc(wants, func(w wire.Demand) bool {
		i := e.services[w.Service].instance(w.Instance)
		return i != nil && !w.Idle && w.Desired > e.allowed(i, e.now)
	})
}

func (e *Entry) reportAnnouncements(m *wire.Report) {
	for _, i := range e.report.pending {
		if !i.pending {
			continue
		}
		m.Announcements = append(m.Announcements, i.direct)
		if i.includedIn == 0 {
			i.includedIn = m.Sequence
		}
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
	p.heardAt = e.now
	if a.Refused && a.Leader != "" || !a.Refused && a.Version != 0 {
		p.ledAt = e.now
	}
	e.takeMembers(a.Members)
	if a.Refused {
		e.takeRefusal(from, a)
		return
	}
	if a.Sequence < p.answered {
		return
	}
	p.answered, p.answeredAt, p.unanswered, p.wasAnswered = a.Sequence, sent, 0, true
	p.setLeader(from)
	p.taken[a.Sequence] = true
	for n := range p.sent {
		if n <= a.Sequence {
			delete(p.sent, n)
		}
	}
	e.takeSettings(a)
	e.takeUpstreams(a)
	e.takeEntries(a)
	for _, l := range a.Leases {
		e.takeLease(l, sent)
	}
	if a.Renew > 0 && a.PrimariesMark == e.markPrimaries() {
		e.renewLeases(a.Renew, sent)
	}
	for _, g := range a.Grants {
		e.takeGrant(g, sent)
	}
	e.markReported(a.Sequence)
}

func (e *Entry) takeRefusal(from catalog.VMID, a wire.Answer) {
	p := &e.report
	if p.leader != "" && p.leader != from {
		if !e.options.UpstreamsFromControl || p.unanswered == 0 || a.Leader == "" {
			return
		}
	}
	if a.Leader == p.leader && a.Leader != "" {
		return
	}
	p.setLeader("")
	if a.Leader != "" && a.Leader != from {
		p.setLeader(a.Leader)
		p.urgent = p.unanswered <= e.leaderReports()
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
	return e.now.Sub(e.report.answeredAt) > t.LeaseLength+2*t.ElectionTimeout
}

func clampRetry(d time.Duration) time.Duration {
	return max(retryLeast, min(d, retryMost))
}
