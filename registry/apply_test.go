package registry

import (
	"fmt"
	"testing"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

func service(id catalog.ServiceID, slots int) catalog.Service {
	return catalog.Service{
		ID: id, Ack: catalog.AckPrimary, Instances: 3,
		Limits: catalog.Limits{Connections: 20, Reserved: 2, Slots: slots},
	}
}

// TestServicesSince guards against an entry that misses a changed or removed
// service when it catches up, also after the state was restored from a
// snapshot.
func TestServicesSince(t *testing.T) {
	Convey("ServicesSince returns only what changed after the version, also after a snapshot", t, func() {
		s := New()
		s.Apply(Change{ID: "1", Replace: &ReplaceServices{Services: []catalog.Service{service("a", 1), service("b", 1), service("c", 1)}}})
		s.Apply(Change{ID: "2", Replace: &ReplaceServices{Services: []catalog.Service{service("a", 1), service("b", 2)}}})
		s.Apply(Change{ID: "3", Create: &CreateService{Service: service("d", 1)}})
		s.Apply(Change{ID: "4", Drain: &DrainUpstream{Instance: "a-1"}})
		data, err := s.Snapshot()
		So(err, ShouldBeNil)
		s, err = Restore(data)
		So(err, ShouldBeNil)
		changed, removed := s.ServicesSince(1)
		So(changed, ShouldResemble, []catalog.Service{service("b", 2), service("d", 1)})
		So(removed, ShouldResemble, []catalog.ServiceID{"c"})
		changed, removed = s.ServicesSince(2)
		So(changed, ShouldResemble, []catalog.Service{service("d", 1)})
		So(removed, ShouldBeEmpty)
		So(s.IsDrained("a-1"), ShouldBeTrue)
		So(s.DrainedVersion, ShouldEqual, catalog.Version(4))
		So(s.Apply(Change{ID: "3", Create: &CreateService{Service: service("d", 1)}}).Version, ShouldEqual, catalog.Version(3))
	})
}

// FuzzRestore guards against snapshots that panic, or that restore to a state
// which can't be changed and encoded again.
func FuzzRestore(f *testing.F) {
	s := New()
	s.Apply(Change{ID: "1", Create: &CreateService{Service: service("a", 1)}})
	data, err := s.Snapshot()
	if err != nil {
		f.Fatal(err)
	}
	f.Add(data)
	f.Add(data[:len(data)-1])
	f.Add([]byte{0xa0})
	f.Fuzz(func(t *testing.T, data []byte) {
		s, err := Restore(data)
		if err != nil {
			return
		}
		s.Apply(Change{ID: "x", Create: &CreateService{Service: service("x", 1)}})
		if _, err := s.Snapshot(); err != nil {
			t.Fatal(err)
		}
	})
}

// All members skip a record that they can't decode, so a change that ends as one must
// be refused when it is encoded.
func TestUndecodableChangeIsRefused(t *testing.T) {
	Convey("text that is not UTF-8 is not encoded", t, func() {
		_, err := Encode(Change{Register: &catalog.Announcement{Service: "a", Instance: "\xff\xfe"}})
		So(errors.Is(err, errors.NotValid), ShouldBeTrue)
	})
}

// TestRetiredUpstreamStaysListed guards against a later leader that can't tell which upstreams left.
func TestRetiredUpstreamStaysListed(t *testing.T) {
	Convey("a retired upstream stays listed as leaving, also in a snapshot, until it starts again", t, func() {
		s := New()
		a := catalog.Announcement{Service: "orders", Instance: "a", Incarnation: 3, Sequence: 1}
		s.Apply(Change{Register: &a})
		s.Apply(Change{Retire: &RetireUpstream{Instance: "a", Incarnation: 3}})
		data, err := s.Snapshot()
		So(err, ShouldBeNil)
		s, err = Restore(data)
		So(err, ShouldBeNil)
		So(s.Upstreams, ShouldHaveLength, 1)
		So(s.Upstreams[0].Leaving, ShouldBeTrue)
		late := a
		late.Sequence = 9
		So(s.Apply(Change{Register: &late}).Code, ShouldEqual, CodeConflict)
		So(s.Upstreams[0].Leaving, ShouldBeTrue)
		a.Incarnation = 4
		s.Apply(Change{Register: &a})
		So(s.Upstreams, ShouldResemble, []catalog.Announcement{a})
		s.Apply(Change{Retire: &RetireUpstream{Instance: "a", Incarnation: 3}})
		So(s.Upstreams, ShouldResemble, []catalog.Announcement{a})
	})
	Convey("the list of upstreams that left is bounded", t, func() {
		s := New()
		for n := range 2 * maxRetired {
			a := catalog.Announcement{Service: "orders", Instance: catalog.InstanceID(fmt.Sprintf("i%05d", n)), Incarnation: 1}
			s.Apply(Change{Register: &a})
			s.Apply(Change{Retire: &RetireUpstream{Instance: a.Instance, Incarnation: 1}})
		}
		So(s.Upstreams, ShouldHaveLength, maxRetired)
		So(s.IsRegistered("i02047", 1), ShouldBeTrue)
		So(s.IsRegistered("i01023", 1), ShouldBeFalse)
	})
}

// TestElectedInstanceIsNotTheFormerPrimary guards against control that takes an instance which was elected and never promoted for the one that led the group.
func TestElectedInstanceIsNotTheFormerPrimary(t *testing.T) {
	Convey("the last ready primary is known until another one is ready", t, func() {
		s := New()
		s.Apply(Change{ID: "x", Create: &CreateService{Service: service("orders", 1)}})
		So(s.Apply(Change{Elect: &ElectPrimary{Service: "orders", Epoch: 1, Instance: "a"}}).Code, ShouldEqual, CodeOK)
		So(s.Primary("orders").LastReady(), ShouldBeEmpty)
		s.Apply(Change{Ready: &PrimaryReady{Service: "orders", Epoch: 1, Term: 1}})
		So(s.Primary("orders").LastReady(), ShouldEqual, catalog.InstanceID("a"))
		for n, id := range []catalog.InstanceID{"b", "c", "b"} {
			So(s.Apply(Change{Elect: &ElectPrimary{Service: "orders", Epoch: catalog.Epoch(n + 2), Instance: id}}).Code, ShouldEqual, CodeOK)
			So(s.Primary("orders").LastReady(), ShouldEqual, catalog.InstanceID("a"))
		}
		data, err := s.Snapshot()
		So(err, ShouldBeNil)
		s, err = Restore(data)
		So(err, ShouldBeNil)
		So(s.Primary("orders").LastReady(), ShouldEqual, catalog.InstanceID("a"))
		s.Apply(Change{Ready: &PrimaryReady{Service: "orders", Epoch: 4, Term: 2}})
		So(s.Primary("orders").LastReady(), ShouldEqual, catalog.InstanceID("b"))
		So(s.Primary("orders").Former, ShouldBeEmpty)
	})
}
