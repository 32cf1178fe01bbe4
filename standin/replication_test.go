package standin

import (
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// reaches reports whether an instance gets to a position.
func reaches(s *Server, want catalog.Position) bool {
	return eventually(func() bool {
		_, p := s.Status()
		return p == want
	})
}

func at(s *Server) catalog.Position {
	_, p := s.Status()
	return p
}

func follow(t *testing.T, s, primary *Server) {
	t.Helper()
	host, port, err := net.SplitHostPort(primary.Address)
	if err != nil {
		t.Fatal(err)
	}
	c := connect(t, s)
	fill := strings.NewReplacer("%HOST%", host, "%PORT%", port)
	for _, f := range catalog.DefaultStatements().Follow {
		if _, err := c.Exec(bounded(t), fill.Replace(f)); err != nil {
			t.Fatal(err)
		}
	}
}

func TestReplicaLags(t *testing.T) {
	a := begin(t, Options{Instance: "a"})
	b := begin(t, Options{Instance: "b", FollowAddress: a.Address, Lag: time.Hour})
	Convey("a replica applies what it received only after the lag", t, func() {
		ca, cb := connect(t, a), connect(t, b)
		So(do(ca, "INSERT INTO kv (key, value) VALUES ('k', 'v')"), ShouldEqual, "INSERT 0 1")
		So(eventually(func() bool { _, o := b.store.received(); return o == at(a).Offset }), ShouldBeTrue)
		So(do(cb, "SELECT value FROM kv WHERE key = 'k'"), ShouldEqual, "SELECT 0")
		b.SetLag(0)
		So(reaches(b, at(a)), ShouldBeTrue)
		So(do(cb, "SELECT value FROM kv WHERE key = 'k'"), ShouldEqual, "v")
		So(do(cb, "DELETE FROM kv WHERE key = 'k'"), ShouldEqual, codeReadOnly)
		So(do(cb, "BEGIN READ WRITE"), ShouldEqual, codeReadOnly)
	})
}

func TestPromotionForksAndRewinds(t *testing.T) {
	a := begin(t, Options{Instance: "a"})
	b := begin(t, Options{Instance: "b", FollowAddress: a.Address})
	c := begin(t, Options{Instance: "c", FollowAddress: a.Address})
	Convey("a group goes on from a promoted replica", t, func() {
		ca, cb := connect(t, a), connect(t, b)
		do(ca, "INSERT INTO kv (key, value) VALUES ('kept', '1')")
		So(reaches(b, at(a)), ShouldBeTrue)
		b.stopFollowing()
		fork := at(b)
		do(ca, "INSERT INTO kv (key, value) VALUES ('lost', '1')")
		do(ca, "UPDATE kv SET value = '9' WHERE key = 'kept'")
		So(reaches(c, at(a)), ShouldBeTrue)

		So(do(cb, strings.ReplaceAll(catalog.DefaultStatements().Promote, "%TERM%", "1")), ShouldEqual, "\x01")
		So(at(b), ShouldResemble, catalog.Position{Term: 2, Offset: fork.Offset})
		So(do(cb, "INSERT INTO kv (key, value) VALUES ('new', '1')"), ShouldEqual, "INSERT 0 1")

		// A replica that was ahead cuts its log back.
		follow(t, c, b)
		So(reaches(c, at(b)), ShouldBeTrue)
		So(do(connect(t, c), "SELECT key, value FROM kv"), ShouldEqual, "kept,1;new,1")

		// So does the former primary, whose open transactions fail.
		do(ca, "BEGIN")
		do(ca, "INSERT INTO kv (key, value) VALUES ('open', '1')")
		follow(t, a, b)
		So(do(ca, "COMMIT"), ShouldEqual, codeConflict)
		So(reaches(a, at(b)), ShouldBeTrue)
		So(do(connect(t, a), "SELECT key, value FROM kv"), ShouldEqual, "kept,1;new,1")
	})
}

func TestPromotionAppliesWhatWasReceived(t *testing.T) {
	a := begin(t, Options{Instance: "a"})
	b := begin(t, Options{Instance: "b", FollowAddress: a.Address, Lag: time.Hour})
	Convey("promotion does not wait for the lag and loses nothing received", t, func() {
		do(connect(t, a), "INSERT INTO kv (key, value) VALUES ('k', 'v')")
		So(eventually(func() bool { _, o := b.store.received(); return o == at(a).Offset }), ShouldBeTrue)
		So(b.Promote(), ShouldBeNil)
		So(at(b), ShouldResemble, catalog.Position{Term: 2, Offset: at(a).Offset})
		So(do(connect(t, b), "SELECT value FROM kv WHERE key = 'k'"), ShouldEqual, "v")
	})
}

func TestPartedHistories(t *testing.T) {
	one, two := era{Term: 1, ID: "a"}, era{Term: 2, StartOffset: 80, ID: "b"}
	other := era{Term: 2, StartOffset: 60, ID: "c"}
	Convey("histories part at the first era that differs", t, func() {
		for _, x := range []struct {
			mine, theirs []era
			at           catalog.Offset
			cut, behind  bool
		}{
			{nil, []era{one}, 0, false, false},
			{[]era{one}, []era{one}, 0, false, false},
			{[]era{one}, []era{one, two}, 80, true, false},
			{[]era{one, two}, []era{one}, 0, false, true},
			{[]era{one, two}, []era{one, other}, 60, true, false},
		} {
			at, cut, behind := parted(x.mine, x.theirs)
			So(at, ShouldEqual, x.at)
			So(cut, ShouldEqual, x.cut)
			So(behind, ShouldEqual, x.behind)
		}
	})
}

func TestAnnouncements(t *testing.T) {
	heard := make(chan catalog.Announcement, 100)
	vm := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a catalog.Announcement
		if r.URL.Path == "/v1/announce" && json.NewDecoder(r.Body).Decode(&a) == nil {
			heard <- a
		}
	}))
	defer vm.Close()
	stuck := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the end of the client is only seen past the body
		<-r.Context().Done()
	}))
	defer stuck.Close()
	s := begin(t, Options{
		Instance: "a", Site: "north", Admin: "127.0.0.1:0",
		Announce: []string{stuck.Listener.Addr().String(), vm.Listener.Addr().String()},
	})
	Convey("an instance announces itself, and that it leaves", t, func() {
		first := <-heard
		So(first.Instance, ShouldEqual, catalog.InstanceID("a"))
		So(first.Address, ShouldEqual, s.Address)
		So(first.Role, ShouldEqual, catalog.RolePrimary)
		So(first.Leaving, ShouldBeFalse)
		r, err := http.Post("http://"+s.AdminAddress+"/leave", "", nil)
		So(err, ShouldBeNil)
		r.Body.Close()
		So(eventually(func() bool { return (<-heard).Leaving }), ShouldBeTrue)
	})
}
