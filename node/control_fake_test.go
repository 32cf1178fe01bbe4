package node

import (
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

const ms = time.Millisecond

// bench is one control VM in a quorum of its own, with a settable clock, and
// a group of three upstreams a (primary), b and c that answer surveys.
type bench struct {
	t       *testing.T
	control *Control
	now     catalog.Instant
	// all holds the effects not yet looked at.
	all []Effect
	// positions answers surveys; an upstream that is not in it is silent.
	positions map[catalog.InstanceID]catalog.Position
	roles     map[catalog.InstanceID]catalog.Role
	sequence  map[catalog.VMID]uint64
	said      uint64
	// promoteFails makes promotions fail.
	promoteFails bool
}

var benchEntries = map[catalog.VMID]catalog.SiteID{"e1": "s1", "e2": "s2", "e3": "s3"}

func ledger(ack catalog.AckMode) catalog.Service {
	return catalog.Service{
		ID: "ledger", Ack: ack, Instances: 3,
		Limits: catalog.Limits{Connections: 20, Reserved: 2, Slots: 3, LocalShare: 2},
	}
}

func newBench(t *testing.T, ack catalog.AckMode) *bench {
	t.Helper()
	self := quorum.Member{VM: "k1", Incarnation: 1, Voter: true}
	o := &bench{t: t, now: catalog.Instant(time.Second), sequence: map[catalog.VMID]uint64{}}
	c, err := NewControl(ControlOptions{
		VM: "k1", Timings: catalog.DefaultTimings(), Members: []catalog.VMID{"k1"}, Entries: benchEntries,
		Services: []catalog.Service{ledger(ack)}, SnapshotAfter: 1000, Seed: 1,
		Saved: quorum.PersistentState{Self: self, Snapshot: quorum.Snapshot{Members: []quorum.Member{self}}},
	}, o.now)
	if err != nil {
		t.Fatal(err)
	}
	o.control = c
	o.positions = map[catalog.InstanceID]catalog.Position{"a": {Term: 1, Offset: 100}, "b": {Term: 1, Offset: 90}, "c": {Term: 1, Offset: 80}}
	o.roles = map[catalog.InstanceID]catalog.Role{"a": catalog.RolePrimary, "b": catalog.RoleReplica, "c": catalog.RoleReplica}
	return o
}

// feed steps the reducer and answers what a shell would answer at once.
func (o *bench) feed(in Input) {
	for _, e := range o.control.Step(Event{Now: o.now, Input: in}) {
		o.all = append(o.all, e)
		switch v := e.(type) {
		case Persist:
			o.feed(Persisted{Token: v.Token})
		case Survey:
			if p, ok := o.positions[v.Instance]; ok {
				o.feed(SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceAlive, Role: o.roles[v.Instance], Position: p})
			}
		case Promote:
			o.promote(v)
		}
	}
}

func (o *bench) promote(v Promote) {
	p, alive := o.positions[v.Instance]
	if o.promoteFails || !alive {
		o.feed(PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch})
		return
	}
	if o.roles[v.Instance] != catalog.RolePrimary {
		p.Term++
		o.positions[v.Instance], o.roles[v.Instance] = p, catalog.RolePrimary
	}
	o.feed(PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch, OK: true, Position: p})
}

func (o *bench) advance(d time.Duration) {
	end := o.now.Add(d)
	for o.now < end {
		o.now = min(o.now.Add(5*ms), end)
		o.feed(TimerFired{})
	}
}

func (o *bench) announce() {
	o.said++
	for _, id := range []catalog.InstanceID{"a", "b", "c"} {
		if p, ok := o.positions[id]; ok {
			o.feed(AnnouncementReceived{Announcement: catalog.Announcement{
				Service: "ledger", Instance: id, Address: "127.0.0.1:1", Site: catalog.SiteID("s" + string(id)),
				Role: o.roles[id], Position: p, Incarnation: 1, Sequence: o.said,
			}})
		}
	}
}

// report sends one report of an entry with what it saw of the primary.
func (o *bench) report(vm catalog.VMID, seen ...wire.Observation) {
	o.sequence[vm]++
	o.feed(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
		VM: vm, Site: benchEntries[vm], Incarnation: 1, Sequence: o.sequence[vm],
		Services: []catalog.ServiceID{"ledger"}, Observations: seen,
		Demands: []wire.Demand{{Service: "ledger", Instance: "a", Held: 3, Desired: 15}},
	}}})
}

func (o *bench) fence(vm catalog.VMID) {
	o.feed(MessageReceived{From: vm, Message: wire.Message{FenceAck: &wire.FenceAck{VM: vm, Incarnation: 1, Service: "ledger", Epoch: o.primary().Epoch}}})
}

func (o *bench) primary() catalog.Primary {
	return o.control.state.Primary("ledger")
}

// lead brings the bench to where every entry holds a lease on primary a.
func (o *bench) lead() {
	o.advance(time.Second)
	o.announce()
	o.advance(100 * ms)
	for _, vm := range []catalog.VMID{"e1", "e2", "e3"} {
		o.report(vm, alive(0))
	}
	if p := o.primary(); !p.Ready || p.Instance != "a" {
		o.t.Fatalf("no primary after the start: %+v", p)
	}
	o.all = nil
}

func alive(age time.Duration) wire.Observation {
	return wire.Observation{Service: "ledger", Instance: "a", Evidence: wire.EvidenceAlive, Age: age, AliveAge: age}
}

func refused(age, aliveAge time.Duration) wire.Observation {
	return wire.Observation{Service: "ledger", Instance: "a", Evidence: wire.EvidenceRefused, Age: age, AliveAge: aliveAge}
}

func silent(aliveAge time.Duration) wire.Observation {
	return wire.Observation{Service: "ledger", Instance: "a", Evidence: wire.EvidenceSilent, AliveAge: aliveAge}
}
