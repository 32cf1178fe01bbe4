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

// reaches reports whether an instance reaches a position within the time that
// eventually allows.
func reaches(s *Server, want catalog.Position) bool {
	return eventually(func() bool {
		_, p := s.Status()
		return p == want
	})
}

func position(s *Server) catalog.Position {
	_, p := s.Status()
	return p
}

func followPrimary(t *testing.T, s, primary *Server) {
	t.Helper()
	host, port, err := net.SplitHostPort(primary.Address)
	if err != nil {
		t.Fatal(err)
	}
	c := connect(t, s)
	placeholders := strings.NewReplacer("%HOST%", host, "%PORT%", port)
	for _, f := range catalog.DefaultStatements().Follow {
		if _, err := c.Exec(testContext(t), placeholders.Replace(f)); err != nil {
			t.Fatal(err)
		}
	}
}

func TestReplicaLags(t *testing.T) {
	a := startServer(t, Options{Instance: "a"})
	b := startServer(t, Options{Instance: "b", FollowAddress: a.Address, ReplicationLag: time.Hour})
	Convey("a replica applies what it received only after the lag", t, func() {
		ca, cb := connect(t, a), connect(t, b)
		So(runSQL(ca, "INSERT INTO kv (key, value) VALUES ('k', 'v')"), ShouldEqual, "INSERT 0 1")
		So(eventually(func() bool { _, o := b.store.receivedPosition(); return o == position(a).Offset }), ShouldBeTrue)
		So(runSQL(cb, "SELECT value FROM kv WHERE key = 'k'"), ShouldEqual, "SELECT 0")
		b.SetReplicationLag(0)
		So(reaches(b, position(a)), ShouldBeTrue)
		So(runSQL(cb, "SELECT value FROM kv WHERE key = 'k'"), ShouldEqual, "v")
		So(runSQL(cb, "DELETE FROM kv WHERE key = 'k'"), ShouldEqual, codeReadOnly)
		So(runSQL(cb, "BEGIN READ WRITE"), ShouldEqual, codeReadOnly)
	})
}

func TestPromotionForksAndRewinds(t *testing.T) {
	a := startServer(t, Options{Instance: "a"})
	b := startServer(t, Options{Instance: "b", FollowAddress: a.Address})
	c := startServer(t, Options{Instance: "c", FollowAddress: a.Address})
	Convey("the other instances follow a promoted replica", t, func() {
		ca, cb := connect(t, a), connect(t, b)
		runSQL(ca, "INSERT INTO kv (key, value) VALUES ('kept', '1')")
		So(reaches(b, position(a)), ShouldBeTrue)
		b.stopFollowing()
		fork := position(b)
		runSQL(ca, "INSERT INTO kv (key, value) VALUES ('lost', '1')")
		runSQL(ca, "UPDATE kv SET value = '9' WHERE key = 'kept'")
		So(reaches(c, position(a)), ShouldBeTrue)

		So(runSQL(cb, strings.ReplaceAll(catalog.DefaultStatements().Promote, "%TERM%", "1")), ShouldEqual, "\x01")
		So(position(b), ShouldResemble, catalog.Position{Term: 2, Offset: fork.Offset})
		So(runSQL(cb, "INSERT INTO kv (key, value) VALUES ('new', '1')"), ShouldEqual, "INSERT 0 1")

		// A replica that is ahead of the new primary truncates its log.
		followPrimary(t, c, b)
		So(reaches(c, position(b)), ShouldBeTrue)
		So(runSQL(connect(t, c), "SELECT key, value FROM kv"), ShouldEqual, "kept,1;new,1")

		// The former primary truncates its log, too, and its open transactions
		// fail.
		runSQL(ca, "BEGIN")
		runSQL(ca, "INSERT INTO kv (key, value) VALUES ('open', '1')")
		followPrimary(t, a, b)
		So(runSQL(ca, "COMMIT"), ShouldEqual, codeSerializationFailure)
		So(reaches(a, position(b)), ShouldBeTrue)
		So(runSQL(connect(t, a), "SELECT key, value FROM kv"), ShouldEqual, "kept,1;new,1")
	})
}

func TestPromotionAppliesReceivedRecords(t *testing.T) {
	a := startServer(t, Options{Instance: "a"})
	b := startServer(t, Options{Instance: "b", FollowAddress: a.Address, ReplicationLag: time.Hour})
	Convey("promotion applies all received records without waiting for the lag", t, func() {
		runSQL(connect(t, a), "INSERT INTO kv (key, value) VALUES ('k', 'v')")
		So(eventually(func() bool { _, o := b.store.receivedPosition(); return o == position(a).Offset }), ShouldBeTrue)
		So(b.Promote(), ShouldBeNil)
		So(position(b), ShouldResemble, catalog.Position{Term: 2, Offset: position(a).Offset})
		So(runSQL(connect(t, b), "SELECT value FROM kv WHERE key = 'k'"), ShouldEqual, "v")
	})
}

func TestFindFork(t *testing.T) {
	one, two := timeline{Term: 1, ID: "a"}, timeline{Term: 2, StartOffset: 80, ID: "b"}
	other := timeline{Term: 2, StartOffset: 60, ID: "c"}
	Convey("histories fork at the first timeline that differs", t, func() {
		for _, x := range []struct {
			local, remote []timeline
			at            catalog.Offset
			cut, behind   bool
		}{
			{nil, []timeline{one}, 0, false, false},
			{[]timeline{one}, []timeline{one}, 0, false, false},
			{[]timeline{one}, []timeline{one, two}, 80, true, false},
			{[]timeline{one, two}, []timeline{one}, 0, false, true},
			{[]timeline{one, two}, []timeline{one, other}, 60, true, false},
		} {
			at, cut, behind := findFork(x.local, x.remote)
			So(at, ShouldEqual, x.at)
			So(cut, ShouldEqual, x.cut)
			So(behind, ShouldEqual, x.behind)
		}
	})
}

func TestAnnouncements(t *testing.T) {
	received := make(chan catalog.Announcement, 100)
	vm := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		var a catalog.Announcement
		if r.URL.Path == "/v1/announce" && json.NewDecoder(r.Body).Decode(&a) == nil {
			received <- a
		}
	}))
	defer vm.Close()
	unresponsive := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		// The server detects a closed connection only after the body was read.
		_, _ = io.Copy(io.Discard, r.Body)
		<-r.Context().Done()
	}))
	defer unresponsive.Close()
	s := startServer(t, Options{
		Instance: "a", Site: "north", AdminAddress: "127.0.0.1:0",
		AnnounceAddresses: []string{unresponsive.Listener.Addr().String(), vm.Listener.Addr().String()},
	})
	Convey("an instance announces its state, and that it is leaving", t, func() {
		first := <-received
		So(first.Instance, ShouldEqual, catalog.InstanceID("a"))
		So(first.Address, ShouldEqual, s.Address)
		So(first.Role, ShouldEqual, catalog.RolePrimary)
		So(first.Leaving, ShouldBeFalse)
		r, err := http.Post("http://"+s.AdminAddress+"/leave", "", nil)
		So(err, ShouldBeNil)
		r.Body.Close()
		So(eventually(func() bool { return (<-received).Leaving }), ShouldBeTrue)
	})
}
