package registry

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

func organisationWithKeys(id catalog.OrganisationID, keys ...string) catalog.Organisation {
	o := catalog.Organisation{ID: id, Rate: 10, Burst: 10}
	for _, k := range keys {
		o.Keys = append(o.Keys, catalog.DigestKey(k))
	}
	return o
}

// TestOrganisationsSince guards against an entry that keeps a withdrawn key or
// misses a new one when it catches up, also after the state was restored from a
// snapshot.
func TestOrganisationsSince(t *testing.T) {
	Convey("OrganisationsSince returns what changed after the version, also after a snapshot", t, func() {
		s := New()
		adopt := func(v catalog.Version, list ...catalog.Organisation) Result {
			return s.Apply(Change{Adopt: &AdoptConfiguration{Version: v, KeysRequired: true, Organisations: list}})
		}
		a, b := organisationWithKeys("a", "a-1", "a-2"), organisationWithKeys("b", "b-1")
		So(adopt(1, a, b).Code, ShouldEqual, CodeOK)
		withoutKey := organisationWithKeys("a", "a-2")
		So(adopt(2, withoutKey, b).Code, ShouldEqual, CodeOK)
		So(adopt(3, withoutKey).Code, ShouldEqual, CodeOK)
		data, err := s.Snapshot()
		So(err, ShouldBeNil)
		s, err = Restore(data)
		So(err, ShouldBeNil)
		changed, removed := s.OrganisationsSince(1)
		So(changed, ShouldResemble, []catalog.Organisation{withoutKey})
		So(removed, ShouldResemble, []catalog.OrganisationID{"b"})
		changed, removed = s.OrganisationsSince(3)
		So(changed, ShouldBeEmpty)
		So(removed, ShouldBeEmpty)
		So(s.KeysRequired, ShouldBeTrue)
	})
	Convey("a key of two organisations, a name given twice and an older version change nothing", t, func() {
		s := New()
		for _, list := range [][]catalog.Organisation{
			{organisationWithKeys("a", "k"), organisationWithKeys("b", "k")},
			{organisationWithKeys("a", "k"), organisationWithKeys("a", "l")},
			{organisationWithKeys("", "k")},
		} {
			r := s.Apply(Change{Adopt: &AdoptConfiguration{Version: 4, KeysRequired: true, Organisations: list}})
			So(r.Code, ShouldEqual, CodeInvalid)
			So(s.Organisations, ShouldBeEmpty)
		}
	})
}
