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
	members = 3
	// groupTick is how long the members' messages and syncs take.
	groupTick  = time.Millisecond
	groupStart = 2 * time.Second
)

// agreementRun is a group of members with messages and syncs that take one
// tick.
type agreementRun struct {
	now    catalog.Instant
	groups []*quorum.Group
	// inbox and synced are due in the next tick.
	inbox     []delivery
	synced    []syncing
	bytes     int
	messages  int
	logBytes  int
	committed int
}

type delivery struct {
	from, to int
	body     []byte
}

type syncing struct {
	member int
	token  uint64
}

func memberID(n int) catalog.VMID {
	return catalog.VMID(fmt.Sprintf("control-%d", n+1))
}

func newAgreementRun(n int) *agreementRun {
	r := &agreementRun{now: catalog.Instant(time.Second)}
	var list []quorum.Member
	for i := range n {
		list = append(list, quorum.Member{VM: memberID(i), Incarnation: 1, Voter: true})
	}
	t := catalog.DefaultTimings()
	set := quorum.Settings{Heartbeat: t.Heartbeat, ElectionTimeout: t.ElectionTimeout, Seed: 1}
	for i := range n {
		r.groups = append(r.groups, quorum.New(set, r.now, quorum.PersistentState{
			Self: list[i], Snapshot: quorum.Snapshot{Members: list},
		}))
	}
	return r
}

// tick lets one tick pass.
func (r *agreementRun) tick() {
	r.now = r.now.Add(groupTick)
	inbox, synced := r.inbox, r.synced
	r.inbox, r.synced = nil, nil
	for _, d := range inbox {
		out, err := r.groups[d.to].Receive(r.now, memberID(d.from), d.body)
		if err == nil {
			r.take(d.to, out)
		}
	}
	for _, s := range synced {
		r.take(s.member, r.groups[s.member].Synced(r.now, s.token))
	}
	for i, g := range r.groups {
		if g.Wake() <= r.now {
			r.take(i, g.Tick(r.now))
		}
	}
}

func (r *agreementRun) run(d time.Duration) {
	for end := r.now.Add(d); r.now < end; {
		r.tick()
	}
}

func (r *agreementRun) take(member int, out quorum.Output) {
	for _, e := range out.Send {
		r.messages++
		r.bytes += len(e.Body)
		for to := range r.groups {
			if memberID(to) == e.To {
				r.inbox = append(r.inbox, delivery{member, to, e.Body})
			}
		}
	}
	if out.Write != nil {
		r.synced = append(r.synced, syncing{member, out.Token})
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

func (r *agreementRun) leader() int {
	for i, g := range r.groups {
		if g.Leading() {
			return i
		}
	}
	return -1
}

// propose puts records on the log, one a tick, and waits for them.
func (r *agreementRun) propose(n int) error {
	leader := r.leader()
	if leader < 0 {
		return errors.New("the members elected no leader")
	}
	for i := range n {
		data, err := registry.Encode(registry.Change{
			ID:     catalog.ChangeID(fmt.Sprintf("change-%032d", i)),
			Create: &registry.CreateService{Service: serviceOf(i, someInstances)},
		})
		if err != nil {
			return errors.Trace(err)
		}
		_, out, err := r.groups[leader].Propose(r.now, data)
		if err != nil {
			return errors.Trace(err)
		}
		r.take(leader, out)
		r.tick()
	}
	r.run(time.Second)
	return nil
}

// agreementRows measures the agreement between control VMs.
func (p Plan) agreementRows(rows *Rows) error {
	s := series{rows, "agreement", "records", fmt.Sprintf("%d members, all of them together", members)}
	for _, n := range p.pick([]int{0, 1000, 4000}, []int{0, 200, 1000}) {
		r := newAgreementRun(members)
		r.run(groupStart)
		r.bytes, r.messages, r.logBytes, r.committed = 0, 0, 0, 0
		var err error
		used := timed(func() { err = r.propose(n) })
		if err != nil {
			return errors.Trace(err)
		}
		if r.committed != n {
			return errors.Errorf("%d of %d records were committed", r.committed, n)
		}
		s.add("processor", "µs", float64(n), micros(used))
		s.add("log", "bytes", float64(n), float64(r.logBytes)/members)
		s.add("messages", "bytes", float64(n), float64(r.bytes))
	}
	return nil
}

// heartbeatRows measures an idle group.
func (p Plan) heartbeatRows(rows *Rows) error {
	s := series{rows, "agreement", "members", "no records"}
	for _, n := range []int{3, 5, 7} {
		r := newAgreementRun(n)
		r.run(groupStart)
		r.bytes, r.messages = 0, 0
		used := timed(func() { r.run(time.Second) })
		s.add("heartbeats", "messages/s", float64(n), float64(r.messages))
		s.add("heartbeats", "bytes/s", float64(n), float64(r.bytes))
		s.add("heartbeats", "µs per s", float64(n), micros(used))
	}
	return nil
}
