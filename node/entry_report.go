package node

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	// answerTimeoutDivisor divides the report interval; the result is how long
	// the leader may take to answer before other control VMs get the report.
	answerTimeoutDivisor = 2
	// maxOutstandingReports is the number of recent reports whose answers are
	// still accepted.
	maxOutstandingReports = 64
	// maxUnanswered is the number of consecutive unanswered reports after which
	// the leader is considered unknown.
	maxUnanswered = 3
	// maxUnansweredFromControl replaces maxUnanswered if UpstreamsFromControl is
	// set. A lease must then outlast both the detection that the leader does not
	// answer and the election of the next leader.
	maxUnansweredFromControl = 2
)

// entryReports is the state of the reports to control and of control's answers.
type entryReports struct {
	leader   catalog.VMID
	sequence uint64
	// sentAt is when each report was sent whose answer is still accepted.
	sentAt map[uint64]catalog.Instant
	// answeredSequence is the sequence of the newest report that was answered,
	// and answeredSentAt is when that report was sent. Before the first answer,
	// answeredSentAt is when this entry started.
	answeredSequence uint64
	answeredSentAt   catalog.Instant
	// unanswered is the number of reports sent since the last answer.
	unanswered int
	// wasAnswered is set once a leader has answered a report.
	wasAnswered bool
	lastSentAt  catalog.Instant
	wasSent     bool
	nextAt      catalog.Instant
	urgent      bool
	// urgentPaidUntil is when the link has carried the urgent reports so far at
	// urgentReportRate.
	urgentPaidUntil catalog.Instant
	// isUnconfirmed is set after a report to the leader until the other control
	// VMs are asked whether they know another one.
	isUnconfirmed bool
	// searches are the recent reports that only search for the leader.
	searches map[uint64]bool
	// searchedNext is the position in the list of control VMs at which the next
	// search begins.
	searchedNext int
	// pendingAnnouncements are the instances whose last direct announcement
	// control has not acknowledged.
	pendingAnnouncements []*entryInstance
	// lastDemands are the demands that were sent last, in the report
	// demandsSequence at demandsSentAt.
	lastDemands     []wire.Demand
	demandsSequence uint64
	demandsSentAt   catalog.Instant
	// acknowledged holds the reports that the present leader has answered.
	acknowledged map[uint64]bool
	// controlAnsweredAt is when any control VM last answered. leaderKnownAt is
	// when an answer last named a leader or came from a leader that has a
	// majority.
	controlAnsweredAt, leaderKnownAt catalog.Instant
	// services are the services covered by reports, sorted by id.
	services []*entryService
}

// setLeader sets the leader that reports are sent to. A new leader has not
// received the earlier reports, so none of them count as acknowledged.
func (p *entryReports) setLeader(vm catalog.VMID) {
	if vm != p.leader {
		p.leader = vm
		clear(p.acknowledged)
	}
}

// newEntryReports derives the first sequence from the incarnation, so that an
// answer to a report of an earlier incarnation does not match a report of this
// one.
func newEntryReports(incarnation uint64) entryReports {
	var b [8]byte
	for n := range b {
		b[n] = byte(incarnation >> (8 * n))
	}
	start := xxhash.Sum64(b[:]) >> 16
	return entryReports{sequence: start, answeredSequence: start, sentAt: map[uint64]catalog.Instant{}, acknowledged: map[uint64]bool{}, searches: map[uint64]bool{}}
}

func (e *Entry) sendDueReport() {
	p := &e.report
	if e.stopped {
		return
	}
	at := p.nextAt
	if p.urgent {
		at = min(max(e.now, p.urgentAt()), p.nextAt)
	}
	if at.After(e.now) {
		e.scheduleWake(at)
		return
	}
	e.sendReport()
	e.scheduleWake(p.nextAt)
}

func (e *Entry) sendReport() {
	p := &e.report
	isEarly := e.now.Before(p.nextAt)
	p.urgent = false
	p.lastSentAt, p.wasSent = e.now, true
	p.nextAt = e.now.Add(e.options.Timings.ReportInterval)
	if e.options.UpstreamsFromControl && p.leader == "" && e.now.Sub(p.controlAnsweredAt) > e.options.Timings.ReportInterval {
		p.nextAt = e.now.Add(e.leaderSearchInterval())
	}
	p.recordSent(e.now)
	p.unanswered++
	if p.unanswered > e.unansweredLimit() {
		p.setLeader("")
	}
	p.isUnconfirmed = p.leader != ""
	if p.leader == "" && e.options.UpstreamsFromControl {
		e.sendSearch(e.nextSearched())
		return
	}
	m := e.buildReport()
	if isEarly {
		p.recordUrgent(e.now, m.ApproximateSize())
	}
	if p.leader != "" {
		e.emit(SendMessage{To: p.leader, Message: wire.Message{Report: m}})
		return
	}
	for _, vm := range e.controlVMs() {
		e.emit(SendMessage{To: vm, Message: wire.Message{Report: m}})
	}
}

// urgentAt returns the earliest time of the next urgent report.
func (p *entryReports) urgentAt() catalog.Instant {
	if !p.wasSent {
		return 0
	}
	return max(p.lastSentAt.Add(urgentReportInterval), p.urgentPaidUntil.Add(-urgentReportBurst))
}

// recordUrgent records that an urgent report of the given size was sent.
func (p *entryReports) recordUrgent(now catalog.Instant, size int) {
	p.urgentPaidUntil = max(p.urgentPaidUntil, now).Add(time.Duration(size) * time.Second / urgentReportRate)
}

func (e *Entry) unansweredLimit() int {
	if e.options.UpstreamsFromControl {
		return maxUnansweredFromControl
	}
	return maxUnanswered
}

func (e *Entry) buildReport() *wire.Report {
	m := &wire.Report{
		VM: e.options.VM, Site: e.options.Site, Incarnation: e.options.Incarnation,
		Sequence: e.report.sequence, SettingsVersion: e.version, Leaving: e.draining && !e.hasPendingWrites(),
		UpstreamsMark: e.upstreamsMark,
	}
	for _, s := range e.report.services {
		if s.isSubscribed {
			m.Services = append(m.Services, s.id)
			if s.isEpochSpent() {
				m.SpentEpochs = append(m.SpentEpochs, wire.ServiceEpoch{Service: s.id, Epoch: s.primary.Epoch})
			}
		}
		for _, i := range s.instances {
			if s.isObserved && s.accepted {
				e.addObservation(m, i)
			}
			e.addDemand(m, i)
		}
	}
	e.addAnnouncements(m)
	e.addUsage(m)
	e.addWork(m)
	e.omitKnown(m)
	return m
}

// omitKnown adds the marks of the primaries and of the site's entries to a
// report, and removes the demands if the present leader already knows them.
func (e *Entry) omitKnown(m *wire.Report) {
	if !e.options.UpstreamsFromControl {
		return
	}
	m.PrimariesMark, m.EntriesMark = e.primariesMark(), e.owners.mark
	p := &e.report
	isCurrent := p.leader != "" && p.acknowledged[p.demandsSequence] && e.now.Before(p.demandsSentAt.Add(demandsRepeatInterval))
	if isCurrent && sameDemands(m.Demands, p.lastDemands) && !e.lacksGrant(m.Demands) {
		m.Demands, m.DemandsUnchanged = nil, true
		return
	}
	p.lastDemands, p.demandsSequence, p.demandsSentAt = m.Demands, m.Sequence, e.now
}

// primariesMark returns a hash of the primaries of the subscribed services.
func (e *Entry) primariesMark() uint64 {
	var primaries []catalog.Primary
	for _, s := range e.report.services {
		if s.isSubscribed {
			primaries = append(primaries, s.primary)
		}
	}
	return wire.PrimariesMark(primaries)
}

// demandsRepeatInterval is how long a report may omit unchanged demands. It is
// short relative to the length of a grant.
const demandsRepeatInterval = 2 * time.Second

// sameDemands reports whether two lists of demands differ in nothing but the
// connections held.
func sameDemands(x, y []wire.Demand) bool {
	return slices.EqualFunc(x, y, func(a, b wire.Demand) bool {
		return a.Instance == b.Instance && a.Service == b.Service && a.Desired == b.Desired && a.Idle == b.Idle && a.Kept == b.Kept
	})
}

// lacksGrant reports whether the entry needs more connections to any upstream in
// use than may be open there now.
func (e *Entry) lacksGrant(demands []wire.Demand) bool {
	return slices.ContainsFunc(demands, func(d wire.Demand) bool {
		i := e.services[d.Service].instance(d.Instance)
		return i != nil && !d.Idle && d.Desired-d.Kept > e.connLimit(i, e.now)
	})
}

func (e *Entry) addAnnouncements(m *wire.Report) {
	for _, i := range e.report.pendingAnnouncements {
		if !i.announcementPending {
			continue
		}
		m.Announcements = append(m.Announcements, i.directAnnouncement)
		if i.announcementSequence == 0 {
			i.announcementSequence = m.Sequence
		}
	}
}

func (e *Entry) newObservation(i *entryInstance) wire.Observation {
	o := wire.Observation{
		Service: i.service.id, Instance: i.id, Evidence: i.evidence,
		Age: e.now.Sub(i.evidenceAt), AliveAge: -1, Role: i.role, Position: i.position,
	}
	if i.evidence == wire.EvidenceNone {
		o.Age = 0
	}
	if i.wasAlive {
		o.AliveAge = e.now.Sub(i.aliveAt)
	}
	return o
}

func (e *Entry) handleAnswer(from catalog.VMID, a wire.Answer) {
	p := &e.report
	sent, ok := p.sentAt[a.Sequence]
	if a.Sequence == p.answeredSequence && from == p.leader {
		// Control sends changes as a further answer to the last report, and so
		// does a former leader that names the next one.
		sent, ok = p.answeredSentAt, true
	}
	if !ok {
		return
	}
	p.controlAnsweredAt = e.now
	if a.Refused && a.Leader != "" || !a.Refused && a.Version != 0 {
		p.leaderKnownAt = e.now
	}
	e.setMembers(a.Members)
	if a.Refused {
		e.handleRefusal(from, a)
		return
	}
	if a.Sequence < p.answeredSequence {
		return
	}
	p.answeredSequence, p.answeredSentAt, p.unanswered, p.wasAnswered = a.Sequence, sent, 0, true
	p.setLeader(from)
	isSearch := p.searches[a.Sequence]
	if isSearch {
		// The leader has not received the report itself.
		p.nextAt = e.now
	} else {
		p.acknowledged[a.Sequence] = true
	}
	for n := range p.sentAt {
		if n <= a.Sequence {
			delete(p.sentAt, n)
		}
	}
	e.applySettings(a)
	e.applyUpstreams(a)
	e.setSiteEntries(a)
	for _, l := range a.Leases {
		e.applyLease(l, sent)
	}
	if a.RenewalLength > 0 && a.PrimariesMark == e.primariesMark() {
		e.renewLeases(a.RenewalLength, sent)
	}
	e.applySiteShares(a, sent)
	for _, g := range a.Grants {
		e.applyGrant(g, sent)
	}
	e.applyLimits(a, sent)
	if !isSearch {
		e.clearReported(a.Sequence)
	}
}

// handleRefusal handles an answer that renews nothing and may name the leader.
func (e *Entry) handleRefusal(from catalog.VMID, a wire.Answer) {
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
	if a.Leader != "" {
		p.setLeader(a.Leader)
		if p.unanswered <= e.unansweredLimit() {
			p.urgent = true
			return
		}
		// During a search, control VMs may name each other for a while, so the
		// next report is only as early as the search allows.
		p.nextAt = min(p.nextAt, p.lastSentAt.Add(e.leaderSearchInterval()))
	}
}

// clearReported drops the pending announcements that control has received,
// which are those in the report of the given sequence or in an earlier one.
func (e *Entry) clearReported(sequence uint64) {
	kept := e.report.pendingAnnouncements[:0]
	for _, i := range e.report.pendingAnnouncements {
		if !i.announcementPending || (i.announcementSequence != 0 && i.announcementSequence <= sequence) {
			i.announcementPending = false
			continue
		}
		kept = append(kept, i)
	}
	e.report.pendingAnnouncements = kept
}

// isControlSilent reports whether no report has been answered for so long that
// no lease can be expected soon.
func (e *Entry) isControlSilent() bool {
	t := e.options.Timings
	return e.now.Sub(e.report.answeredSentAt) > t.LeaseLength+2*t.ElectionTimeout
}

func clampRetry(d time.Duration) time.Duration {
	return max(minRetryAfter, min(d, maxRetryAfter))
}
