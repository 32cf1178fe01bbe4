package node

import (
	"slices"
	"strconv"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// entryCatchUp is how an entry gets the accepted configuration from other
// entries while control does not answer.
type entryCatchUp struct {
	// inForce is set once requests are served by the configuration.
	// Invariant: it stays set.
	inForce bool
	// order lists the entries to ask, those of the own site first, and near
	// counts these.
	order []catalog.VMID
	near  int
	turn  int
	next  catalog.Instant
	// heard are the entries that said that they have no higher version.
	heard map[catalog.VMID]bool
	// hasWord is set once an entry with a configuration answered, at wordAt.
	hasWord bool
	wordAt  catalog.Instant
}

// newEntryCatchUp has each entry of a site begin with another neighbour, so
// that a site that restarts as a whole does not ask one of them alone.
func newEntryCatchUp(o EntryOptions, siteVMs, peers []catalog.VMID) entryCatchUp {
	p := entryCatchUp{heard: map[catalog.VMID]bool{}}
	own := slices.Index(siteVMs, o.VM)
	for n := 1; n < len(siteVMs); n++ {
		if vm := siteVMs[(own+n)%len(siteVMs)]; vm != o.VM {
			p.order = append(p.order, vm)
		}
	}
	p.near = len(p.order)
	for _, vm := range peers {
		if !slices.Contains(siteVMs, vm) {
			p.order = append(p.order, vm)
		}
	}
	return p
}

// settleCatchUp asks one entry after the other until one has a configuration,
// then all of the own site whether they have a higher one. Later it goes on
// asking, slowly, while the entry is cut off from control.
func (e *Entry) settleCatchUp() {
	p := &e.catchUp
	if !p.inForce && e.hasCaughtUp() {
		p.inForce = true
		e.emit(Log{Part: "entry", Text: "The configuration is in force.", Pairs: []string{
			"version", strconv.FormatUint(uint64(e.version), 10),
		}})
	}
	if e.stopped || len(p.order) == 0 || (p.inForce && !e.cutOff()) {
		return
	}
	if !p.next.After(e.now) {
		e.askPeers()
	}
	e.wake(p.next)
}

func (e *Entry) askPeers() {
	p := &e.catchUp
	p.next = e.now.Add(e.options.Timings.ReportInterval)
	if p.inForce {
		p.next = e.now.Add(relayInterval)
	}
	if p.inForce || !p.hasWord {
		e.askSettings(p.order[p.turn%len(p.order)])
		p.turn++
		return
	}
	for _, vm := range p.order[:p.near] {
		if !p.heard[vm] {
			e.askSettings(vm)
		}
	}
}

// hasCaughtUp reports whether the configuration is no older than what control
// or the neighbours have. A neighbour that does not answer is waited for as
// long as one that is suspected.
func (e *Entry) hasCaughtUp() bool {
	p := &e.catchUp
	if e.version == 0 || e.report.wasAnswered || !p.hasWord {
		return e.version != 0 && e.report.wasAnswered
	}
	for _, vm := range p.order[:p.near] {
		if !p.heard[vm] {
			return !e.now.Before(p.wordAt.Add(e.options.Timings.Suspect))
		}
	}
	return true
}

func (e *Entry) askSettings(vm catalog.VMID) {
	ask := &wire.SettingsAsk{Have: e.version, Starting: !e.catchUp.inForce}
	e.emit(SendMessage{To: vm, Message: wire.Message{SettingsAsk: ask}})
}

// answerSettings tells another entry what it lacks, and asks back if that one
// has more.
func (e *Entry) answerSettings(from catalog.VMID, ask wire.SettingsAsk) {
	if !e.isPeer(from) || (ask.Starting && !e.maySettle(from)) {
		return
	}
	m := &wire.Settings{Version: e.version}
	if e.version > ask.Have {
		m.Full, m.Drained = true, e.drained
	}
	for _, id := range e.order {
		s := e.services[id]
		if m.Full && s.accepted {
			m.Services = append(m.Services, s.settings)
		}
		if ask.Starting && s.accepted && s.primary.Epoch != 0 {
			m.Primaries = append(m.Primaries, s.primary)
		}
	}
	e.emit(SendMessage{To: from, Message: wire.Message{Settings: m}})
	if ask.Have > e.version {
		e.askSettings(from)
	}
}

// maySettle reports whether an entry that starts may rest on what this one has.
// Another site may have had newer settings from control before it was cut off,
// so it is told only while control is heard here. Neighbours share the cut, and
// the one that starts waits for all of them.
func (e *Entry) maySettle(from catalog.VMID) bool {
	if slices.Contains(e.catchUp.order[:e.catchUp.near], from) {
		return true
	}
	return e.now.Sub(e.report.answeredAt) <= settleReports*e.options.Timings.ReportInterval
}

// settleReports is how many reports may go unanswered before an entry is no
// longer sure of its settings.
const settleReports = 3

// takePeerSettings takes a higher version from another entry, and the primaries
// it knows. It never gives a lease.
func (e *Entry) takePeerSettings(from catalog.VMID, m wire.Settings) {
	p := &e.catchUp
	if !e.isPeer(from) {
		return
	}
	if m.Full {
		e.takeSettings(wire.Answer{
			Version: m.Version, Services: m.Services, Full: true, Drained: m.Drained, HasDrained: true,
		})
	}
	for _, c := range m.Primaries {
		e.takeLease(wire.Lease{Primary: c}, e.now)
	}
	if m.Version > e.version {
		return
	}
	p.heard[from] = true
	if m.Version != 0 && !p.hasWord {
		p.hasWord, p.wordAt, p.next = true, e.now, e.now
	}
}

func (e *Entry) isPeer(vm catalog.VMID) bool {
	return slices.Contains(e.catchUp.order, vm)
}
