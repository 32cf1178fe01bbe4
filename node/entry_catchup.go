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
	// peers lists the entries to ask, those of the own site first, and near
	// counts these.
	peers         []catalog.VMID
	sitePeerCount int
	nextPeer      int
	nextRequestAt catalog.Instant
	// confirmed are the entries that said that they have no higher version.
	confirmed map[catalog.VMID]bool
	// hasAnswer is set once an entry with a configuration answered, at wordAt.
	hasAnswer  bool
	answeredAt catalog.Instant
}

// newEntryCatchUp has each entry of a site begin with another neighbour, so
// that a site that restarts as a whole does not ask one of them alone.
func newEntryCatchUp(o EntryOptions, siteVMs, peers []catalog.VMID) entryCatchUp {
	p := entryCatchUp{confirmed: map[catalog.VMID]bool{}}
	own := slices.Index(siteVMs, o.VM)
	for n := 1; n < len(siteVMs); n++ {
		if vm := siteVMs[(own+n)%len(siteVMs)]; vm != o.VM {
			p.peers = append(p.peers, vm)
		}
	}
	p.sitePeerCount = len(p.peers)
	for _, vm := range peers {
		if !slices.Contains(siteVMs, vm) {
			p.peers = append(p.peers, vm)
		}
	}
	return p
}

// reconcileCatchUp asks one entry after the other until one has a configuration,
// then all of the own site whether they have a higher one. Later it goes on
// asking, slowly, while the entry is cut off from control.
func (e *Entry) reconcileCatchUp() {
	p := &e.catchUp
	if !p.inForce && e.hasCaughtUp() {
		p.inForce = true
		e.emit(Log{Part: "entry", Text: "The configuration is in force.", Pairs: []string{
			"version", strconv.FormatUint(uint64(e.version), 10),
		}})
	}
	if e.stopped || len(p.peers) == 0 || (p.inForce && !e.isControlSilent()) {
		return
	}
	if !p.nextRequestAt.After(e.now) {
		e.requestPeerSettings()
	}
	e.scheduleWake(p.nextRequestAt)
}

func (e *Entry) requestPeerSettings() {
	p := &e.catchUp
	p.nextRequestAt = e.now.Add(e.options.Timings.Report)
	if p.inForce {
		p.nextRequestAt = e.now.Add(relayInterval)
	}
	if p.inForce || !p.hasAnswer {
		e.requestSettings(p.peers[p.nextPeer%len(p.peers)])
		p.nextPeer++
		return
	}
	for _, vm := range p.peers[:p.sitePeerCount] {
		if !p.confirmed[vm] {
			e.requestSettings(vm)
		}
	}
}

// hasCaughtUp reports whether the configuration is no older than what control
// or the neighbours have. A neighbour that does not answer is waited for as
// long as one that is suspected.
func (e *Entry) hasCaughtUp() bool {
	p := &e.catchUp
	if e.version == 0 || e.report.wasAnswered || !p.hasAnswer {
		return e.version != 0 && e.report.wasAnswered
	}
	for _, vm := range p.peers[:p.sitePeerCount] {
		if !p.confirmed[vm] {
			return !e.now.Before(p.answeredAt.Add(e.options.Timings.Suspect))
		}
	}
	return true
}

func (e *Entry) requestSettings(vm catalog.VMID) {
	ask := &wire.SettingsAsk{Have: e.version, Starting: !e.catchUp.inForce}
	e.emit(SendPeer{To: vm, Message: wire.Message{SettingsAsk: ask}})
}

// handleSettingsRequest tells another entry what it lacks, and asks back if that one
// has more.
func (e *Entry) handleSettingsRequest(from catalog.VMID, ask wire.SettingsAsk) {
	if !e.isPeer(from) || (ask.Starting && !e.mayBootstrap(from)) {
		return
	}
	m := &wire.Settings{Version: e.version}
	if e.version > ask.Have {
		m.Whole, m.Drained = true, e.drained
	}
	for _, id := range e.serviceIDs {
		s := e.services[id]
		if m.Whole && s.accepted {
			m.Services = append(m.Services, s.settings)
		}
		if ask.Starting && s.accepted && s.primary.Epoch != 0 {
			m.Primaries = append(m.Primaries, s.primary)
		}
	}
	e.emit(SendPeer{To: from, Message: wire.Message{Settings: m}})
	if ask.Have > e.version {
		e.requestSettings(from)
	}
}

// mayBootstrap reports whether an entry that starts may rest on what this one has.
// Another site may have had newer settings from control before it was cut off,
// so it is told only while control is heard here. Neighbours share the cut, and
// the one that starts waits for all of them.
func (e *Entry) mayBootstrap(from catalog.VMID) bool {
	if slices.Contains(e.catchUp.peers[:e.catchUp.sitePeerCount], from) {
		return true
	}
	return e.now.Sub(e.report.answeredAt) <= maxBootstrapReports*e.options.Timings.Report
}

// maxBootstrapReports is how many reports may go unanswered before an entry is no
// longer sure of its settings.
const maxBootstrapReports = 3

// handlePeerSettings takes a higher version from another entry, and the primaries
// it knows. It never gives a lease.
func (e *Entry) handlePeerSettings(from catalog.VMID, m wire.Settings) {
	p := &e.catchUp
	if !e.isPeer(from) {
		return
	}
	if m.Whole {
		e.applySettings(wire.Answer{
			Version: m.Version, Settings: m.Services, Whole: true, Drained: m.Drained, HasDrained: true,
		})
	}
	for _, c := range m.Primaries {
		e.applyLease(wire.Lease{Primary: c}, e.now)
	}
	if m.Version > e.version {
		return
	}
	p.confirmed[from] = true
	if m.Version != 0 && !p.hasAnswer {
		p.hasAnswer, p.answeredAt, p.nextRequestAt = true, e.now, e.now
	}
}

func (e *Entry) isPeer(vm catalog.VMID) bool {
	return slices.Contains(e.catchUp.peers, vm)
}
