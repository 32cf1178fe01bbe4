package relay

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
)

// startEchoServer starts a TCP server that sends back all data, and returns its
// address.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

// TestRoute guards against a route that ignores its delay in one direction,
// forwards data while cut, or loses it after the cut.
func TestRoute(t *testing.T) {
	r, err := Start("127.0.0.1:0", startEchoServer(t), 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(r.Stop)
	admin := httptest.NewServer(Handler(map[string]*Route{"a": r}))
	t.Cleanup(admin.Close)
	post := func(path string) int {
		answer, err := http.Post(admin.URL+path, "", nil)
		if err != nil {
			t.Fatal(err)
		}
		answer.Body.Close()
		return answer.StatusCode
	}
	c, err := net.Dial("tcp", r.Address)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	roundTrip := func(limit time.Duration) error {
		_ = c.SetDeadline(time.Now().Add(limit))
		if _, err := c.Write([]byte("x")); err != nil {
			return err
		}
		_, err := io.ReadFull(c, make([]byte, 1))
		return err
	}
	Convey("a route forwards, delays, holds back data while cut and delivers it once healed", t, func() {
		So(roundTrip(time.Second), ShouldBeNil)
		So(post("/delay?route=a&d=30ms"), ShouldEqual, http.StatusOK)
		start := time.Now()
		So(roundTrip(time.Second), ShouldBeNil)
		So(time.Since(start), ShouldBeGreaterThanOrEqualTo, 60*time.Millisecond)
		So(post("/delay?d=0s"), ShouldEqual, http.StatusOK)
		So(post("/cut?route=a"), ShouldEqual, http.StatusOK)
		So(roundTrip(50*time.Millisecond), ShouldNotBeNil)
		So(post("/heal"), ShouldEqual, http.StatusOK)
		_ = c.SetDeadline(time.Now().Add(time.Second))
		_, err := io.ReadFull(c, make([]byte, 1))
		So(err, ShouldBeNil)
		So(post("/cut?route=none"), ShouldEqual, http.StatusNotFound)
		So(post("/delay?d=x"), ShouldEqual, http.StatusBadRequest)
	})
}
