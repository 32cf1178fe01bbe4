package node_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// withdrawnCauses are the faults and changes that must occur in the seeds.
var withdrawnCauses = []string{"adopt", "drain", "retire", "kill k", "kill e", "cut", "freeze k"}

// simulateWithdrawn changes routes, services, organisations with their keys and
// limits, and drained and retired upstreams, under faults and changes of leader. It
// fails if an entry acts on something that the agreed state has no more.
func simulateWithdrawn(seed uint64) *simulation {
	w := newSimulation(seed, catalog.AckPrimary, func(w *simulation) { w.isListed, w.timings = true, catalog.HostedTimings(4*time.Second) })
	w.onAnswer = func(*process, node.AnswerRequest) {}
	o := newOperators(w)
	r := &listedRun{w: w, o: o}
	for _, id := range w.ids() {
		u := w.group[id]
		w.schedule(time.Duration(w.rng.IntN(int(heartbeatInterval))), func() { r.beat(u) })
	}
	w.run(3 * time.Second)
	version := catalog.Version(10)
	for n := range 25 {
		w.loss = 0.1 * float64(w.rng.IntN(4))
		switch w.rng.IntN(5) {
		case 0:
			w.counts["drain"]++
			u := w.ids()[w.rng.IntN(3)]
			change := catalog.ChangeID(fmt.Sprintf("d%d", n))
			o.sendCommand(o.randomControl(), node.Command{Change: change, Drain: &node.DrainUpstream{Instance: u, Off: w.rng.IntN(2) == 0}}, maxRedirects, func(node.Reply) {})
		case 1:
			w.counts["retire"]++
			u := w.group[w.ids()[w.rng.IntN(3)]]
			o.sendCommand(o.randomControl(), node.Command{Retire: &node.RetireUpstream{Instance: u.id}}, maxRedirects, func(node.Reply) {})
			w.schedule(time.Duration(w.rng.IntN(2000))*ms, func() { u.incarnation++ })
		default:
			w.counts["adopt"]++
			version += catalog.Version(1 + w.rng.IntN(3))
			o.sendCommand(o.randomControl(), r.randomConfiguration(version), maxRedirects, func(node.Reply) {})
		}
		if w.rng.IntN(3) == 0 {
			w.injectFault()
		}
		w.run(time.Duration(w.rng.IntN(400)) * ms)
	}
	w.loss = 0
	w.run(leaveBound)
	r.checkConverged()
	return w
}

// randomConfiguration returns a configuration of some of a few routes, services and
// organisations.
func (r *listedRun) randomConfiguration(version catalog.Version) node.Command {
	rng := r.w.rng
	f := catalog.Configuration{Version: version, Document: []byte{1}}
	for _, id := range []catalog.ServiceID{"ledger", "stock", "browse"} {
		if id == "ledger" || rng.IntN(2) == 0 {
			l := r.w.limits
			l.Slots = 1 + rng.IntN(2)
			f.Services = append(f.Services, catalog.Service{ID: id, Ack: r.w.ack, Instances: 3, Limits: l})
		}
	}
	for n := range 5 {
		if rng.IntN(2) == 0 {
			service := f.Services[rng.IntN(len(f.Services))].ID
			f.Routes = append(f.Routes, catalog.Route{
				RouteKey: catalog.RouteKey{Database: fmt.Sprint("base", n)}, Service: service, Timeout: time.Duration(1+rng.IntN(2)) * time.Second,
			})
		}
	}
	for n := range 4 {
		if rng.IntN(2) == 0 {
			key := catalog.KeyDigest{byte(n), byte(rng.IntN(2)), 1}
			f.Organisations = append(f.Organisations, catalog.Organisation{
				ID: catalog.OrganisationID(fmt.Sprint("o", n)), Keys: []catalog.KeyDigest{key}, Rate: float64(rng.IntN(3)), Burst: float64(rng.IntN(2)),
			})
		}
	}
	f.KeysRequired = len(f.Organisations) > 0
	return node.Command{Adopt: &node.AdoptSettings{Configuration: f}}
}

// checkConverged compares what each entry acts on with the state of the leader.
func (r *listedRun) checkConverged() {
	w := r.w
	leader := w.leader()
	if !leader.control.Leads() {
		w.fail("no control VM leads after the faults have ended")
		return
	}
	want := leader.control.ActsOn(w.ids())
	for _, vm := range w.names('e') {
		if got := w.byName[vm].entry.ActsOn(w.ids()); !slices.Equal(got, want) {
			w.fail("%s acts on\n%q, agreed is\n%q", vm, got, want)
		}
	}
}

// TestWithdrawnFactsReachEntries guards against entries that act on settings or upstreams that were withdrawn.
func TestWithdrawnFactsReachEntries(t *testing.T) {
	checkSeeds(t, 2**seeds, withdrawnCauses, simulateWithdrawn)
}
