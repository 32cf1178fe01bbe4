package node

import (
	"slices"
	"strconv"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// entryCatchUp is the state of fetching the accepted configuration from other
// entries while control does not answer.
type entryCatchUp struct {
	// inForce is set once the configuration is in force, so that requests are
	// served. Invariant: it stays set.
	inForce bool
	// peers lists the entries to ask, those of the own site first;
	// sitePeerCount is the number of these. nextPeer counts the requests sent
	// to one peer at a time and selects the next peer, and nextRequestAt is
	// when the next request is due.
	peers         []catalog.VMID
	sitePeerCount int
	nextPeer      int
	nextRequestAt catalog.Instant
	// confirmed holds the entries that answered with no higher version.
	confirmed map[catalog.VMID]bool
	// hasAnswer is set once an entry with a configuration has answered, and
	// answeredAt is when the first such answer arrived.
	hasAnswer  bool
	answeredAt catalog.Instant
}

// newEntryCatchUp makes each entry of a site start with a different peer, so
// that a site that restarts as a whole does not send all requests to one entry.
func newEntryCatchUp(o EntryOptions, siteVMs, peers []catalog.VMID) entryCatchUp {
	if o.UpstreamsFromControl {
		// Settings of peers hold neither routes nor organisations.
		siteVMs, peers = []catalog.VMID{o.VM}, nil
	}
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

// reconcileCatchUp asks one entry after another until one has a configuration,
// and then asks all entries of the own site whether they have a higher version.
// Once the configuration is in force, it asks less often, and only while
// control is silent.
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
	p.nextRequestAt = e.now.Add(e.options.Timings.ReportInterval)
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

// hasCaughtUp reports whether the configuration is at least as new as that of
// control or of the entries of the own site. An entry that does not answer
// delays this for the suspicion timeout at most.
func (e *Entry) hasCaughtUp() bool {
	p := &e.catchUp
	if e.version == 0 || e.report.wasAnswered || !p.hasAnswer {
		return e.version != 0 && e.report.wasAnswered
	}
	for _, vm := range p.peers[:p.sitePeerCount] {
		if !p.confirmed[vm] {
			return !e.now.Before(p.answeredAt.Add(e.options.Timings.SuspectTimeout))
		}
	}
	return true
}

func (e *Entry) requestSettings(vm catalog.VMID) {
	request := &wire.SettingsRequest{Version: e.version, WithPrimaries: !e.catchUp.inForce}
	e.emit(SendMessage{To: vm, Message: wire.Message{SettingsRequest: request}})
}

// handleSettingsRequest sends another entry the configuration that it lacks,
// and requests that entry's configuration if its version is higher.
func (e *Entry) handleSettingsRequest(from catalog.VMID, request wire.SettingsRequest) {
	if !e.isPeer(from) || (request.WithPrimaries && !e.mayBootstrap(from)) {
		return
	}
	m := &wire.Settings{Version: e.version}
	if e.version > request.Version {
		m.Full, m.Drained = true, e.drained
	}
	for _, id := range e.serviceIDs {
		s := e.services[id]
		if m.Full && s.accepted {
			m.Services = append(m.Services, s.settings)
		}
		if request.WithPrimaries && s.accepted && s.primary.Epoch != 0 {
			m.Primaries = append(m.Primaries, s.primary)
		}
	}
	e.emit(SendMessage{To: from, Message: wire.Message{Settings: m}})
	if request.Version > e.version {
		e.requestSettings(from)
	}
}

// mayBootstrap reports whether an entry that is starting may rely on this
// entry's configuration. An entry of another site gets an answer only while
// control answers this entry, because that site may have received newer
// settings from control before it lost contact. Entries of the own site lose
// contact with control together with the starting entry, which waits for an
// answer of each of them.
func (e *Entry) mayBootstrap(from catalog.VMID) bool {
	if slices.Contains(e.catchUp.peers[:e.catchUp.sitePeerCount], from) {
		return true
	}
	return e.now.Sub(e.report.answeredSentAt) <= maxBootstrapIntervals*e.options.Timings.ReportInterval
}

// maxBootstrapIntervals is the number of report intervals without an answer from
// control after which this entry's configuration may be outdated.
const maxBootstrapIntervals = 3

// handlePeerSettings applies a higher version from another entry, and the
// primaries that are known there. Only control grants leases, so these primaries
// come without one.
func (e *Entry) handlePeerSettings(from catalog.VMID, m wire.Settings) {
	p := &e.catchUp
	if !e.isPeer(from) {
		return
	}
	if m.Full {
		e.applySettings(wire.Answer{
			Version: m.Version, Services: m.Services, Full: true, Drained: m.Drained, HasDrained: true,
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
