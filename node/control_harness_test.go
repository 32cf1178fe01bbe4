package node

import (
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

const ms = time.Millisecond

// controlHarness is a control VM that is the only member of its quorum, with a
// settable clock. Its group has three upstreams that answer surveys: the
// primary a and the replicas b and c.
type controlHarness struct {
	t       *testing.T
	control *Control
	now     catalog.Instant
	// effects holds the effects that the test has not inspected yet.
	effects []Effect
	// positions holds the positions with which upstreams answer surveys. An
	// upstream that is not in the map does not answer.
	positions        map[catalog.InstanceID]catalog.Position
	roles            map[catalog.InstanceID]catalog.Role
	reportSequences  map[catalog.VMID]uint64
	announceSequence uint64
	promoteFails     bool
}

var harnessEntries = map[catalog.VMID]catalog.SiteID{"e1": "s1", "e2": "s2", "e3": "s3"}

func ledger(ack catalog.AckMode) catalog.Service {
	return catalog.Service{
		ID: "ledger", Ack: ack, Instances: 3,
		Limits: catalog.Limits{Connections: 20, Reserved: 2, Slots: 3, LocalShare: 2},
	}
}

func newControlHarness(t *testing.T, ack catalog.AckMode) *controlHarness {
	t.Helper()
	self := quorum.Member{VM: "k1", Incarnation: 1, Voter: true}
	o := &controlHarness{t: t, now: catalog.Instant(time.Second), reportSequences: map[catalog.VMID]uint64{}}
	c, err := NewControl(ControlOptions{
		VM: "k1", Timings: catalog.DefaultTimings(), Members: []catalog.VMID{"k1"}, Entries: harnessEntries,
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

// feed steps the reducer and reports the results of its effects immediately.
func (o *controlHarness) feed(in Input) {
	for _, e := range o.control.Step(Event{Now: o.now, Input: in}) {
		o.effects = append(o.effects, e)
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

func (o *controlHarness) promote(v Promote) {
	p, alive := o.positions[v.Instance]
	if o.promoteFails || !alive {
		o.feed(PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch})
		return
	}
	if o.roles[v.Instance] != catalog.RolePrimary {
		p.Term = max(p.Term, v.After) + 1
		o.positions[v.Instance], o.roles[v.Instance] = p, catalog.RolePrimary
	}
	o.feed(PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch, OK: true, Position: p})
}

func (o *controlHarness) advance(d time.Duration) {
	end := o.now.Add(d)
	for o.now < end {
		o.now = min(o.now.Add(5*ms), end)
		o.feed(TimerFired{})
	}
}

func (o *controlHarness) announce() {
	o.announceSequence++
	for _, id := range []catalog.InstanceID{"a", "b", "c"} {
		if p, ok := o.positions[id]; ok {
			o.feed(AnnouncementReceived{Announcement: catalog.Announcement{
				Service: "ledger", Instance: id, Address: "127.0.0.1:1", Site: catalog.SiteID("s" + string(id)),
				Role: o.roles[id], Position: p, Incarnation: 1, Sequence: o.announceSequence,
			}})
		}
	}
}

// report sends an entry's report with its observations of the primary.
func (o *controlHarness) report(vm catalog.VMID, observations ...wire.Observation) {
	o.reportSequences[vm]++
	o.feed(MessageReceived{From: vm, Message: wire.Message{Report: &wire.Report{
		VM: vm, Site: harnessEntries[vm], Incarnation: 1, Sequence: o.reportSequences[vm],
		Services: []catalog.ServiceID{"ledger"}, Observations: observations,
		Demands: []wire.Demand{{Service: "ledger", Instance: "a", Held: 3, Desired: 15}},
	}}})
}

func (o *controlHarness) fence(vm catalog.VMID) {
	o.feed(MessageReceived{From: vm, Message: wire.Message{FenceAck: &wire.FenceAck{VM: vm, Incarnation: 1, Service: "ledger", Epoch: o.primary().Epoch}}})
}

func (o *controlHarness) primary() catalog.Primary {
	return o.control.state.Primary("ledger")
}

// setUpLeases advances the harness until every entry holds a lease on primary
// a.
func (o *controlHarness) setUpLeases() {
	o.advance(time.Second)
	o.announce()
	o.advance(100 * ms)
	for _, vm := range []catalog.VMID{"e1", "e2", "e3"} {
		o.report(vm, aliveObservation(0))
	}
	if p := o.primary(); !p.Ready || p.Instance != "a" {
		o.t.Fatalf("primary a is not ready after the start: %+v", p)
	}
	o.effects = nil
}

func aliveObservation(age time.Duration) wire.Observation {
	return wire.Observation{Service: "ledger", Instance: "a", Evidence: wire.EvidenceAlive, Age: age, AliveAge: age}
}

func refusedObservation(age, aliveAge time.Duration) wire.Observation {
	return wire.Observation{Service: "ledger", Instance: "a", Evidence: wire.EvidenceRefused, Age: age, AliveAge: aliveAge}
}

func timeoutObservation(aliveAge time.Duration) wire.Observation {
	return wire.Observation{Service: "ledger", Instance: "a", Evidence: wire.EvidenceTimeout, AliveAge: aliveAge}
}
