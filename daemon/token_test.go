package daemon_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/token"
)

// replicaLag delays writes at the replicas.
const replicaLag = 100 * time.Millisecond

// writeWithToken inserts a row in a session and returns the session token that
// the entry reports.
func (c *cluster) writeWithToken(entry catalog.VMID, key string) string {
	c.t.Helper()
	p := c.mustConnect(entry)
	defer closeConn(p)
	if _, err := query(p, "session=s", fmt.Sprintf("INSERT INTO moved (key, value) VALUES ('%s', '1')", key)); err != nil {
		c.t.Fatal(err)
	}
	text := p.PgConn().ParameterStatus("kingcupknot.token")
	if text == "" {
		c.t.Fatal("the answer had no token")
	}
	return text
}

// A session token must carry read-your-writes from one entry to the others,
// with lagging replicas and after a failover. A forged token or a token of
// another service or session must be refused.
func TestTokenAcrossEntries(t *testing.T) {
	c := newCluster(t)
	text := c.writeWithToken("e1", "first")
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
			_, err := query(c.mustConnect("e2"), "session=s, token="+bad, "SELECT value FROM moved WHERE key = 'first'")
			if sqlState(err) != "28000" {
				t.Errorf("%s: %v", name, err)
			}
		}
		if got := c.mustRun("e2", "session=s, token="+sign(own, "shop", "s"), "SELECT value FROM moved WHERE key = 'first'"); got == "none" {
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
			text := c.writeWithToken("e1", key)
			if c.mustRun("e2", "", fmt.Sprintf("SELECT value FROM moved WHERE key = '%s'", key)) == "" {
				stale++
			}
			for _, entry := range []catalog.VMID{"e2", "e3"} {
				c.checkRowVisible(entry, "session=s, token="+text, key)
				c.checkRowVisible(entry, "session=s", key)
			}
		}
		t.Logf("%d of 30 reads without a session were stale", stale)
	})
	t.Run("older term", func(t *testing.T) {
		text := c.writeWithToken("e1", "older")
		n := c.stopPrimary()
		for _, u := range c.upstreams {
			u.SetReplicationLag(0)
		}
		for _, entry := range []catalog.VMID{"e1", "e2", "e3"} {
			c.checkRowVisible(entry, "session=s, token="+text, "older")
		}
		c.mustRun("e1", "session=s, token="+text, "INSERT INTO moved (key, value) VALUES ('newer', '1')")
		for _, entry := range []catalog.VMID{"e2", "e3"} {
			c.checkRowVisible(entry, "session=s", "newer")
			c.checkRowVisible(entry, "session=s, token="+text, "older")
		}
		t.Logf("instance %d was the primary", n)
	})
}

func (c *cluster) checkRowVisible(entry catalog.VMID, hints, key string) {
	c.t.Helper()
	if got := c.mustRun(entry, hints, fmt.Sprintf("SELECT value FROM moved WHERE key = '%s'", key)); got != "1" {
		c.t.Errorf("%s with %q does not show %s", entry, hints, key)
	}
}
