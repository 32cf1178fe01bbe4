package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// An entry whose leader of control does not answer asks other control VMs with
// reports that hold nothing but its identity, and sends the leader a whole report
// once that has answered. Whole reports of hundreds of services to all control VMs
// would fill the links of the entries and take more processor time than control has.

const (
	// leaderSearchFactor is how many times more often an entry sends reports
	// while it knows no leader and no control VM answers. One that answers also
	// tells who leads as soon as it knows.
	leaderSearchFactor = 3
	// maxSearched is the highest number of control VMs that are asked at a time.
	maxSearched = 6
)

// leaderSearchInterval returns the time between two reports of an entry that
// knows no leader.
func (e *Entry) leaderSearchInterval() time.Duration {
	return e.options.Timings.ReportInterval / leaderSearchFactor
}

// searchOthers asks the other control VMs for the leader if the leader has not
// answered the last report. One of them may have become the leader, and each of
// them knows whether there is one.
func (e *Entry) searchOthers() {
	p := &e.report
	if !e.options.UpstreamsFromControl || e.stopped || !p.isUnconfirmed || p.unanswered == 0 {
		return
	}
	if at := p.lastSentAt.Add(e.options.Timings.ReportInterval / answerTimeoutDivisor); at.After(e.now) {
		e.scheduleWake(at)
		return
	}
	p.isUnconfirmed = false
	p.recordSent(e.now)
	e.sendSearch(e.controlVMs())
}

// nextSearched returns the control VMs that the next search asks.
func (e *Entry) nextSearched() []catalog.VMID {
	all := e.controlVMs()
	if len(all) <= maxSearched {
		return all
	}
	p := &e.report
	out := make([]catalog.VMID, 0, maxSearched)
	for n := range maxSearched {
		out = append(out, all[(p.searchedNext+n)%len(all)])
	}
	p.searchedNext = (p.searchedNext + maxSearched) % len(all)
	return out
}

// sendSearch sends a report that only searches for the leader, with the newest
// sequence, to the given control VMs except for the known leader.
func (e *Entry) sendSearch(to []catalog.VMID) {
	p := &e.report
	p.searches[p.sequence] = true
	m := &wire.Report{
		VM: e.options.VM, Site: e.options.Site, Incarnation: e.options.Incarnation,
		Sequence: p.sequence, SettingsVersion: e.version, Leaving: e.draining && !e.hasPendingWrites(),
		UpstreamsMark: e.upstreamsMark, EntriesMark: e.owners.mark, DemandsUnchanged: true,
	}
	if e.organisations != nil {
		m.EntryCount = e.limits.entryCount
	}
	for _, vm := range to {
		if vm != p.leader {
			e.emit(SendMessage{To: vm, Message: wire.Message{Report: m}})
		}
	}
}

// recordSent assigns the next sequence to a report that is sent now.
func (p *entryReports) recordSent(now catalog.Instant) {
	p.sequence++
	p.sentAt[p.sequence] = now
	oldest := p.sequence - maxOutstandingReports
	delete(p.sentAt, oldest)
	delete(p.acknowledged, oldest)
	delete(p.searches, oldest)
}
