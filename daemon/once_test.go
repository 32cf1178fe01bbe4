package daemon_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/catalog"
)

const incrementStatement = "UPDATE counter SET value = value + 1 WHERE key = '%s'"

func (c *cluster) newCounter(key string) {
	c.mustRun("e1", "", fmt.Sprintf("INSERT INTO counter (key, value) VALUES ('%s', '0')", key))
}

func (c *cluster) checkCounter(key, want string) {
	c.t.Helper()
	got := c.mustRun("e2", "session=checks", fmt.Sprintf("SELECT value FROM counter WHERE key = '%s'", key))
	if got != want {
		c.t.Errorf("counter %s is %s and not %s", key, got, want)
	}
}

// sendAndDisconnect sends a statement and closes the connection after wait,
// without reading the answer.
func (c *cluster) sendAndDisconnect(p *pgx.Conn, hints, text string, wait time.Duration) {
	h, err := p.PgConn().Hijack()
	if err != nil {
		c.t.Fatal(err)
	}
	b, err := (&pgproto3.Query{String: hintComment(hints) + text}).Encode(nil)
	if err == nil {
		_, err = h.Conn.Write(b)
	}
	if err != nil {
		c.t.Error(err)
	}
	time.Sleep(wait)
	_ = h.Conn.Close()
}

// A write with a request id must run at most once, although its caller sends it
// again after a lost answer, a killed entry or a failover, or sends it to
// several entries at once.
func TestAtMostOnce(t *testing.T) {
	c := newCluster(t)
	t.Run("answer lost", func(*testing.T) {
		for n := range 20 {
			key := fmt.Sprint("lost-", n)
			c.newCounter(key)
			text, hints := fmt.Sprintf(incrementStatement, key), "request=r-"+key
			c.sendAndDisconnect(c.mustConnect("e1"), hints, text, time.Duration(n%5)*time.Millisecond)
			c.mustRun("e2", hints, text)
			c.mustRun("e3", hints, text)
			c.checkCounter(key, "1")
		}
	})
	t.Run("several at once", func(*testing.T) {
		for n := range 10 {
			key := fmt.Sprint("both-", n)
			c.newCounter(key)
			var g sync.WaitGroup
			for _, entry := range []catalog.VMID{"e1", "e2", "e3"} {
				g.Go(func() { c.tryOnce(entry, "request=r-"+key, fmt.Sprintf(incrementStatement, key)) })
			}
			g.Wait()
			c.mustRun("e1", "request=r-"+key, fmt.Sprintf(incrementStatement, key))
			c.checkCounter(key, "1")
		}
	})
	t.Run("other contents", func(t *testing.T) {
		c.newCounter("other")
		c.mustRun("e1", "request=r-other", fmt.Sprintf(incrementStatement, "other"))
		_, err := query(c.mustConnect("e2"), "request=r-other", "UPDATE counter SET value = value + 2 WHERE key = 'other'")
		if sqlState(err) != "22023" {
			t.Errorf("another request under the same id: %v", err)
		}
		c.checkCounter("other", "1")
	})
	t.Run("without an id", func(t *testing.T) {
		c.newCounter("twice")
		c.mustRun("e1", "", fmt.Sprintf(incrementStatement, "twice"))
		c.mustRun("e2", "", fmt.Sprintf(incrementStatement, "twice"))
		// Without a request id, both statements must run. This shows that in
		// the other cases the id prevents the second run.
		c.checkCounter("twice", "2")
	})
	t.Run("entry killed", func(t *testing.T) {
		for n := range 4 {
			key := fmt.Sprint("killed-", n)
			c.newCounter(key)
			p, done := c.mustConnect("e3"), make(chan struct{})
			go func() {
				defer close(done)
				c.sendAndDisconnect(p, "request=r-"+key, fmt.Sprintf(incrementStatement, key), 20*time.Millisecond)
			}()
			time.Sleep(time.Duration(n) * 2 * time.Millisecond)
			c.kill("e3")
			<-done
			c.mustRun("e1", "request=r-"+key, fmt.Sprintf(incrementStatement, key))
			c.start("e3", "")
			c.mustRun("e3", "request=r-"+key, fmt.Sprintf(incrementStatement, key))
			c.checkCounter(key, "1")
		}
	})
	t.Run("failover", func(*testing.T) {
		c.newCounter("failover")
		c.mustRun("e1", "request=r-failover", fmt.Sprintf(incrementStatement, "failover"))
		c.stopPrimary()
		c.mustRun("e2", "request=r-failover", fmt.Sprintf(incrementStatement, "failover"))
		c.mustRun("e3", "request=r-failover", fmt.Sprintf(incrementStatement, "failover"))
		c.checkCounter("failover", "1")
	})
}

// tryOnce sends a request once and ignores the outcome.
func (c *cluster) tryOnce(entry catalog.VMID, hints, text string) {
	p, err := c.connect(entry)
	if err != nil {
		return
	}
	defer closeConn(p)
	_, _ = query(p, hints, text)
}
