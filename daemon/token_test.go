package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/token"
)

// replicaLag is how long replicas wait before they show a write.
const replicaLag = 100 * time.Millisecond

// write writes a row with a token and returns the new one.
func (c *cluster) write(entry catalog.VMID, key string) string {
	c.t.Helper()
	p := c.conn(entry)
	defer closeConn(p)
	if _, err := ask(p, "session=s", fmt.Sprintf("INSERT INTO moved (key, value) VALUES ('%s', '1')", key)); err != nil {
		c.t.Fatal(err)
	}
	text := p.PgConn().ParameterStatus("kingcupknot.token")
	if text == "" {
		c.t.Fatal("no token came with the answer")
	}
	return text
}

func TestTokenMoves(t *testing.T) {
	c := newCluster(t)
	text := c.write("e1", "first")
	t.Run("refused", func(t *testing.T) {
		sign := func(key []byte, service catalog.ServiceID, session catalog.SessionID) string {
			out, err := token.Sign(key, token.Token{Session: session, Service: service, Position: catalog.Position{Term: 1, Offset: 1}})
			if err != nil {
				t.Fatal(err)
			}
			return out
		}
		own := c.settings.Security.TokenKey
		flipped := []byte(text)
		flipped[len(flipped)/2] ^= 1
		for name, bad := range map[string]string{
			"flipped": string(flipped), "cut": text[:len(text)/2], "cut by one": text[:len(text)-1],
			"other key":     sign([]byte("another key of thirty-two bytes!"), "shop", "s"),
			"other service": sign(own, "orders", "s"), "other session": sign(own, "shop", "another"),
		} {
			_, err := ask(c.conn("e2"), "session=s, token="+bad, "SELECT value FROM moved WHERE key = 'first'")
			if code(err) != "28000" {
				t.Errorf("%s: %v", name, err)
			}
		}
		if got := c.must("e2", "session=s, token="+sign(own, "shop", "s"), "SELECT value FROM moved WHERE key = 'first'"); got == "none" {
			t.Error(got)
		}
	})
	t.Run("lagging replicas", func(t *testing.T) {
		for _, u := range c.upstreams {
			u.SetReplicationLag(replicaLag)
		}
		stale := 0
		for n := range 30 {
			key := fmt.Sprint("moved-", n)
			text := c.write("e1", key)
			if c.must("e2", "", fmt.Sprintf("SELECT value FROM moved WHERE key = '%s'", key)) == "" {
				stale++
			}
			for _, entry := range []catalog.VMID{"e2", "e3"} {
				c.wantMoved(entry, "session=s, token="+text, key)
				c.wantMoved(entry, "session=s", key)
			}
		}
		t.Logf("%d of 30 reads without a session were stale", stale)
	})
	t.Run("older term", func(t *testing.T) {
		text := c.write("e1", "older")
		n := c.stopPrimary()
		for _, u := range c.upstreams {
			u.SetReplicationLag(0)
		}
		for _, entry := range []catalog.VMID{"e1", "e2", "e3"} {
			c.wantMoved(entry, "session=s, token="+text, "older")
		}
		c.must("e1", "session=s, token="+text, "INSERT INTO moved (key, value) VALUES ('newer', '1')")
		for _, entry := range []catalog.VMID{"e2", "e3"} {
			c.wantMoved(entry, "session=s", "newer")
			c.wantMoved(entry, "session=s, token="+text, "older")
		}
		t.Logf("instance %d was the primary", n)
	})
}

func (c *cluster) wantMoved(entry catalog.VMID, hints, key string) {
	c.t.Helper()
	if got := c.must(entry, hints, fmt.Sprintf("SELECT value FROM moved WHERE key = '%s'", key)); got != "1" {
		c.t.Errorf("%s with %q does not show %s", entry, hints, key)
	}
}
