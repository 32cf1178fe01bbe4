package organisation

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// TestWith guards against a directory that keeps the withdrawn keys of an
// organisation that was changed or removed, and against changes to a directory
// that other goroutines use.
func TestWith(t *testing.T) {
	Convey("changes replace organisations in a copy", t, func() {
		k, l := catalog.DigestKey("k"), catalog.DigestKey("l")
		first := New([]catalog.Organisation{{ID: "a", Keys: []catalog.KeyDigest{k}}, {ID: "b"}})
		second := first.With([]catalog.Organisation{{ID: "a", Keys: []catalog.KeyDigest{l}}}, []catalog.OrganisationID{"b"})
		_, ok := second.ByKey(k)
		So(ok, ShouldBeFalse)
		id, ok := second.ByKey(l)
		So(ok, ShouldBeTrue)
		So(id, ShouldEqual, catalog.OrganisationID("a"))
		So(second.IDs(), ShouldResemble, []catalog.OrganisationID{"a"})
		_, ok = first.ByKey(k)
		So(ok, ShouldBeTrue)
		So(first.IDs(), ShouldHaveLength, 2)
		var none *Directory
		So(none.With(nil, nil).IDs(), ShouldBeEmpty)
	})
}
