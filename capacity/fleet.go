package capacity

import (
	"fmt"
	"io"
	"math/rand/v2"
	"runtime"
	"runtime/pprof"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/link"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	// entryLinkRate is the rate of an entry's network link in bytes per second.
	entryLinkRate = 250_000
	// A snapshot is due after fleetSnapshotAfter records of the log or
	// fleetSnapshotAfterBytes, as in package daemon.
	fleetSnapshotAfter, fleetSnapshotAfterBytes = 256, 1 << 20
	// fleetConnections and fleetSlots are the limits of each upstream. With the
	// limits of the other models every entry would own every service.
	fleetConnections, fleetSlots = 64, 4
	// documentBytesPerRoute is the length of the compressed configuration file
	// for each route.
	documentBytesPerRoute = 20
)

// FleetLoad is the size of a fleet whose entries start together and whose
// configuration is then changed periodically.
type FleetLoad struct {
	RecoveryLoad
	// Controls is the number of control VMs, of which Voters vote.
	Controls int
	Routes   int
	// Length is how long the play takes. A route is changed every ConfigInterval.
	Length, ConfigInterval time.Duration
	// StartsEmpty is set if control knows no upstream and no configuration at the
	// start. The configuration comes with the first change.
	StartsEmpty bool
	// HeapProfile receives a heap profile of the whole model if it is not nil, and
	// ProcessorProfile a profile of the processor time.
	HeapProfile, ProcessorProfile io.Writer
}

// Fleet is the cost of control in a play of a fleet.
type Fleet struct {
	// Sent holds the bytes that all control VMs sent, by kind of message.
	Sent map[string]int
	// Received is the number of bytes that all control VMs received.
	Received int
	// LeaderHeap and FollowerHeap are the bytes of live heap of the reducers.
	LeaderHeap, FollowerHeap float64
	// MaxQueued is the highest number of bytes that one control VM had queued
	// for entries whose links were busy, and MaxFrame the longest message.
	MaxQueued, MaxFrame int
	// Leaders counts the control VMs that became the leader, Promotions the
	// changes of primary and Stored the bytes of records written at the leader.
	Leaders, Promotions, Stored int
	// Informed is the number of entries that have the newest configuration.
	Informed int
	// FirstInformed is how long after the first configuration 98% of the entries
	// had one, if the fleet started empty; zero if that did not happen.
	FirstInformed time.Duration
	// Ready is the number of entries that hold a lease at the end, and Queue the
	// highest number of inputs that waited at a control VM.
	Ready, Queue int
	// Leader, Follower and Entry are the costs of the leader's, the middle
	// follower's and the middle entry's reducer.
	Leader, Follower, Entry StepCost
}

// fleetMeter counts the bytes of control's messages and delays those to entries
// by their links.
type fleetMeter struct {
	result Fleet
	// queued holds the bytes that wait at each control VM, and linkFreeAt when
	// the link of each entry has carried what was sent before.
	queued     map[catalog.VMID]int
	linkFreeAt map[catalog.VMID]catalog.Instant
	// versions holds the configuration version of each entry.
	versions map[catalog.VMID]catalog.Version
	version  catalog.Version
	random   *rand.Rand
	// costs holds the processor time of each VM's reducer.
	costs   map[catalog.VMID]*StepCost
	started catalog.Instant
	// startsEmpty is that of the load.
	startsEmpty bool
}

func messageKind(m wire.Message) string {
	switch {
	case m.Quorum != nil:
		return "agreement"
	case m.Announcement != nil:
		return "announcement"
	case m.Report != nil:
		return "report"
	case m.Answer == nil:
		return "other"
	case len(m.Answer.Routes) > 0:
		return "answer with routes"
	case len(m.Answer.Upstreams) > 0:
		return "answer with upstreams"
	}
	return "answer"
}

// delay records a message and returns how long it waits for the receiver's link.
func (f *fleetMeter) delay(w *recoverySim, from *modelVM, m node.SendMessage) time.Duration {
	to := w.vms[m.To]
	if to == nil || !from.isControl && !to.isControl {
		return 0
	}
	data, err := link.Encode(m.Message)
	if err != nil {
		return 0
	}
	if to.isControl {
		f.result.Received += len(data)
	}
	if !from.isControl {
		return 0
	}
	f.result.Sent[messageKind(m.Message)] += len(data)
	f.result.MaxFrame = max(f.result.MaxFrame, len(data))
	if to.isControl {
		return 0
	}
	own := len(data)
	if a := m.Message.Answer; a != nil && len(a.Routes) >= link.MinSharedRoutes {
		// The hub holds the routes and services once for all receivers.
		rest := *a
		rest.Routes, rest.Services = nil, nil
		if data, err := link.Encode(wire.Message{Answer: &rest}); err == nil {
			own = len(data)
		}
	}
	f.queued[from.id] += own
	f.result.MaxQueued = max(f.result.MaxQueued, f.queued[from.id])
	f.linkFreeAt[m.To] = max(f.linkFreeAt[m.To], w.now).Add(time.Second * time.Duration(len(data)) / entryLinkRate)
	d := f.linkFreeAt[m.To].Sub(w.now)
	w.schedule(d, func() { f.queued[from.id] -= own })
	return d
}

// PlayFleet plays the start of a fleet and periodic changes of its configuration.
func PlayFleet(l FleetLoad) (Fleet, error) {
	f := &fleetMeter{
		result: Fleet{Sent: map[string]int{}}, queued: map[catalog.VMID]int{}, versions: map[catalog.VMID]catalog.Version{},
		linkFreeAt: map[catalog.VMID]catalog.Instant{}, costs: map[catalog.VMID]*StepCost{}, startsEmpty: l.StartsEmpty, random: rand.New(rand.NewPCG(l.Seed, 2)), version: 2,
	}
	w := newRecoverySim(l.RecoveryLoad)
	w.meter, w.controlCount, w.isOutage = f, l.Controls, true
	w.slots = fleetSlots
	w.snapshotAfter, w.snapshotAfterBytes = fleetSnapshotAfter, fleetSnapshotAfterBytes
	f.started = w.now
	state := newState(l.Services, l.Instances)
	// Services and routes that no change has marked would not be sent to entries.
	services := state.Services
	for n := range services {
		services[n].Limits = catalog.Limits{Connections: fleetConnections, Reserved: 2, Slots: 1}
	}
	state.Services = nil
	state.Apply(registry.Change{Adopt: &registry.AdoptConfiguration{
		Version: f.version, Services: services, Routes: newRoutes(l.Routes, l.Services),
	}})
	first := warmUp
	initial := state
	if l.StartsEmpty {
		first, initial = firstConfigurationAt, registry.New()
	}
	if err := w.start(initial); err != nil {
		return Fleet{}, errors.Trace(err)
	}
	if l.ProcessorProfile != nil {
		if err := pprof.StartCPUProfile(l.ProcessorProfile); err != nil {
			return Fleet{}, errors.Trace(err)
		}
	}
	for at := first; at < l.Length; at += l.ConfigInterval {
		w.schedule(at, func() { f.changeConfiguration(w, state) })
	}
	w.advance(l.Length)
	if l.ProcessorProfile != nil {
		pprof.StopCPUProfile()
	}
	f.addCosts(w)
	f.countEntries(w)
	f.result.Leaders = w.result.Leaders
	if l.HeapProfile != nil {
		runtime.GC()
		if err := pprof.Lookup("heap").WriteTo(l.HeapProfile, 0); err != nil {
			return Fleet{}, errors.Trace(err)
		}
	}
	for _, k := range w.controls {
		switch {
		case k.id == w.leader:
			f.result.LeaderHeap = heapFreedBy(func() { k.step = nil })
		case f.result.FollowerHeap == 0:
			f.result.FollowerHeap = heapFreedBy(func() { k.step = nil })
		}
	}
	runtime.KeepAlive(w)
	return f.result, nil
}

// promotionTime is how long a call of the platform and the survey after it take.
const promotionTime = 30 * time.Millisecond

func roleOfInstance(id catalog.InstanceID) catalog.Role {
	if strings.HasSuffix(string(id), primarySuffix) {
		return catalog.RolePrimary
	}
	return catalog.RoleReplica
}

// firstConfigurationAt is when the first configuration comes if the fleet starts
// empty.
const firstConfigurationAt = 2 * time.Second

func newRoutes(n, services int) []catalog.Route {
	var out []catalog.Route
	for i := range n {
		out = append(out, catalog.Route{
			RouteKey: catalog.RouteKey{Database: fmt.Sprintf("database-%05d", i)}, Service: serviceID(i % services),
			Reads: catalog.ReadsBounded, MaxAge: time.Second, Timeout: 2 * time.Second, Objective: 100 * time.Millisecond,
		})
	}
	return out
}

// changeConfiguration sends a whole configuration in which one route is changed.
func (f *fleetMeter) changeConfiguration(w *recoverySim, s *registry.State) {
	f.version++
	s.Routes[f.random.IntN(len(s.Routes))].Timeout += time.Millisecond
	document := make([]byte, len(s.Routes)*documentBytesPerRoute)
	for n := range document {
		document[n] = byte(f.random.Uint32())
	}
	c := catalog.Configuration{Version: f.version, Services: s.Services, Routes: s.Routes, Document: document}
	if k := w.vms[w.leader]; k != nil {
		w.feed(k, node.CommandReceived{Number: uint64(f.version), Command: node.Command{Adopt: &node.AdoptSettings{Configuration: c}}})
	}
}

// announceToAny sends the heartbeat of an upstream to any control VM.
func (f *fleetMeter) announceToAny(w *recoverySim, a catalog.Announcement) {
	k := w.controls[f.random.IntN(len(w.controls))]
	w.feed(k, node.CommandReceived{Command: node.Command{Announce: &node.Announce{Announcement: a}}})
}

// record counts an effect of a process other than a message.
func (f *fleetMeter) record(w *recoverySim, v *modelVM, x node.Effect) {
	switch e := x.(type) {
	case node.Persist:
		if v.id == w.leader {
			f.result.Stored += storedBytes(e.Write)
		}
	case node.Promote:
		f.result.Promotions++
		w.later(v, promotionTime, func() {
			w.feed(v, node.PromoteDone{
				Service: e.Service, Instance: e.Instance, Epoch: e.Epoch, OK: true, Position: catalog.Position{Term: term, Offset: baseOffset},
			})
		})
	case node.RoutesChanged:
		f.versions[v.id] = e.Version
		if f.result.FirstInformed == 0 && f.startsEmpty && 100*len(f.versions) >= recoveredPercent*len(w.entries) {
			f.result.FirstInformed = w.now.Sub(f.started) - firstConfigurationAt
		}
	case node.Probe:
		w.later(v, networkLatency, func() { f.answerProbe(w, v, e) })
	}
}

func (f *fleetMeter) answerProbe(w *recoverySim, v *modelVM, p node.Probe) {
	role := catalog.RoleReplica
	if v.primaryConns[p.Conn] {
		role = catalog.RolePrimary
	}
	w.feed(v, node.ProbeDone{
		Conn: p.Conn, SentAt: w.now, Evidence: wire.EvidenceAlive, Role: role,
		Position: catalog.Position{Term: term, Offset: baseOffset + catalog.Offset(w.now/catalog.Instant(time.Millisecond))},
	})
}

func storedBytes(x quorum.Write) int {
	n := 0
	for _, r := range x.Append {
		n += len(r.Data)
	}
	if x.Snapshot != nil {
		n += len(x.Snapshot.Data)
	}
	return n
}
