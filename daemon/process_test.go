package daemon

import (
	"net"
	"net/http"
	"testing"
	"time"
)

// TestIdleConnectionsAreClosed guards against connections that stay open when their
// upstream has gone on to another control VM, while those in use must stay.
func TestIdleConnectionsAreClosed(t *testing.T) {
	const idle, interval = 300 * time.Millisecond, 50 * time.Millisecond
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	p := newProcess()
	p.serveWithIdleTimeout(l, http.NotFoundHandler(), idle)
	defer p.closeServers()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = c.Close() }()
	buffer := make([]byte, 4096)
	for used := time.Duration(0); used < 2*idle; used += interval {
		if _, err := c.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n")); err != nil {
			t.Fatal(err)
		}
		if _, err := c.Read(buffer); err != nil {
			t.Fatalf("a connection in use was closed: %v", err)
		}
		time.Sleep(interval)
	}
	if err := c.SetReadDeadline(time.Now().Add(10 * idle)); err != nil {
		t.Fatal(err)
	}
	if _, err := c.Read(buffer); err == nil || err.Error() != "EOF" {
		t.Errorf("the unused connection is still open: %v", err)
	}
}
