package capacity

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
)

const (
	groupSize = 3
	// groupTick is the virtual time that each message and each sync takes.
	groupTick   = time.Millisecond
	groupWarmUp = 2 * time.Second
)

// agreementSim simulates a quorum group in virtual time. Each message and each
// sync takes one tick.
type agreementSim struct {
	now    catalog.Instant
	groups []*quorum.Group
	// pendingDeliveries and pendingSyncs complete in the next tick.
	pendingDeliveries []delivery
	pendingSyncs      []pendingSync
	bytes             int
	messages          int
	logBytes          int
	committed         int
}

type delivery struct {
	from, to int
	body     []byte
}

type pendingSync struct {
	member int
	token  uint64
}

func memberID(n int) catalog.VMID {
	return catalog.VMID(fmt.Sprintf("control-%d", n+1))
}

func newAgreementSim(n int) *agreementSim {
	r := &agreementSim{now: catalog.Instant(time.Second)}
	var list []quorum.Member
	for i := range n {
		list = append(list, quorum.Member{VM: memberID(i), Incarnation: 1, Voter: true})
	}
	t := catalog.DefaultTimings()
	settings := quorum.Settings{HeartbeatInterval: t.HeartbeatInterval, ElectionTimeout: t.ElectionTimeout, Seed: 1}
	for i := range n {
		r.groups = append(r.groups, quorum.New(settings, r.now, quorum.PersistentState{
			Self: list[i], Snapshot: quorum.Snapshot{Members: list},
		}))
	}
	return r
}

// tick advances virtual time by one tick. It delivers the pending messages,
// completes the pending syncs and ticks the members whose timers are due.
func (r *agreementSim) tick() {
	r.now = r.now.Add(groupTick)
	inbox, synced := r.pendingDeliveries, r.pendingSyncs
	r.pendingDeliveries, r.pendingSyncs = nil, nil
	for _, d := range inbox {
		out, err := r.groups[d.to].Receive(r.now, memberID(d.from), d.body)
		if err == nil {
			r.applyOutput(d.to, out)
		}
	}
	for _, s := range synced {
		r.applyOutput(s.member, r.groups[s.member].MarkSynced(r.now, s.token))
	}
	for i, g := range r.groups {
		if g.NextTick() <= r.now {
			r.applyOutput(i, g.Tick(r.now))
		}
	}
}

func (r *agreementSim) advance(d time.Duration) {
	for end := r.now.Add(d); r.now < end; {
		r.tick()
	}
}

func (r *agreementSim) applyOutput(member int, out quorum.Output) {
	for _, e := range out.Send {
		r.messages++
		r.bytes += len(e.Body)
		for to := range r.groups {
			if memberID(to) == e.To {
				r.pendingDeliveries = append(r.pendingDeliveries, delivery{member, to, e.Body})
			}
		}
	}
	if out.Write != nil {
		r.pendingSyncs = append(r.pendingSyncs, pendingSync{member, out.WriteID})
		for _, x := range out.Write.Append {
			data, err := cbor.Marshal(x)
			if err == nil {
				r.logBytes += len(data)
			}
		}
	}
	if member == 0 {
		r.committed += len(out.Committed)
	}
}

func (r *agreementSim) leader() int {
	for i, g := range r.groups {
		if g.Leading() {
			return i
		}
	}
	return -1
}

// propose appends n records to the leader's log, one per tick, and runs the group
// for one more second, in which it commits them.
func (r *agreementSim) propose(n int) error {
	leader := r.leader()
	if leader < 0 {
		return errors.New("the members elected no leader")
	}
	for i := range n {
		data, err := registry.Encode(registry.Change{
			ID:     catalog.ChangeID(fmt.Sprintf("change-%032d", i)),
			Create: &registry.CreateService{Service: newService(i, baseInstances)},
		})
		if err != nil {
			return errors.Trace(err)
		}
		_, out, err := r.groups[leader].Propose(r.now, data)
		if err != nil {
			return errors.Trace(err)
		}
		r.applyOutput(leader, out)
		r.tick()
	}
	r.advance(time.Second)
	return nil
}

// measureAgreement measures the costs of replicating records in a group of
// control VMs.
func (p Plan) measureAgreement(rows *Rows) error {
	s := series{rows, "agreement", "records", fmt.Sprintf("%d members, all of them together", groupSize)}
	for _, n := range p.choosePoints([]int{0, 1000, 4000}, []int{0, 200, 1000}) {
		r := newAgreementSim(groupSize)
		r.advance(groupWarmUp)
		r.bytes, r.messages, r.logBytes, r.committed = 0, 0, 0, 0
		var err error
		cpu := cpuTimeOf(func() { err = r.propose(n) })
		if err != nil {
			return errors.Trace(err)
		}
		if r.committed != n {
			return errors.Errorf("%d of %d records were committed", r.committed, n)
		}
		s.add("processor", "µs", float64(n), microseconds(cpu))
		s.add("log", "bytes", float64(n), float64(r.logBytes)/groupSize)
		s.add("messages", "bytes", float64(n), float64(r.bytes))
	}
	return nil
}

// measureHeartbeats measures the costs of the heartbeats in an idle group, for
// one second of virtual time.
func (p Plan) measureHeartbeats(rows *Rows) error {
	s := series{rows, "agreement", "members", "no records"}
	for _, n := range []int{3, 5, 7} {
		r := newAgreementSim(n)
		r.advance(groupWarmUp)
		r.bytes, r.messages = 0, 0
		cpu := cpuTimeOf(func() { r.advance(time.Second) })
		s.add("heartbeats", "messages/s", float64(n), float64(r.messages))
		s.add("heartbeats", "bytes/s", float64(n), float64(r.bytes))
		s.add("heartbeats", "µs per s", float64(n), microseconds(cpu))
	}
	return nil
}
