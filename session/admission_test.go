package session

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/organisation"
)

// TestAdmission guards against a session that goes on under a key which was
// withdrawn or moved to another organisation, and against a key that is asked for
// where none is needed.
func TestAdmission(t *testing.T) {
	holder := func(id catalog.OrganisationID, keys ...string) catalog.Organisation {
		o := catalog.Organisation{ID: id}
		for _, k := range keys {
			o.Keys = append(o.Keys, catalog.DigestKey(k))
		}
		return o
	}
	routes := []catalog.Route{
		{RouteKey: catalog.RouteKey{Database: "open"}, KeyExempt: true},
		{RouteKey: catalog.RouteKey{Database: "shop"}},
	}
	s := NewServer(Options{})
	c := &session{server: s, database: "shop", key: catalog.DigestKey("k")}
	admit := func(d *organisation.Directory) Code {
		s.SetRoutes(node.RoutesChanged{Version: 1, Routes: routes, Organisations: d})
		_, code := c.admit()
		return code
	}
	Convey("the configuration in force decides at each operation", t, func() {
		So(admit(nil), ShouldEqual, CodeNone)
		So(c.organisation, ShouldBeEmpty)
		So(admit(organisation.New([]catalog.Organisation{holder("a", "k")})), ShouldEqual, CodeNone)
		So(c.organisation, ShouldEqual, catalog.OrganisationID("a"))
		So(admit(organisation.New([]catalog.Organisation{holder("a", "l"), holder("b", "k")})), ShouldEqual, CodeNone)
		So(c.organisation, ShouldEqual, catalog.OrganisationID("b"))
		So(admit(organisation.New([]catalog.Organisation{holder("a", "l")})), ShouldEqual, CodeUnknownKey)
		So(admit(organisation.New(nil)), ShouldEqual, CodeUnknownKey)
		c.database = "open"
		So(admit(organisation.New(nil)), ShouldEqual, CodeNone)
		So(c.organisation, ShouldBeEmpty)
		c.database = "gone"
		So(admit(organisation.New(nil)), ShouldEqual, CodeNoDatabase)
	})
}
