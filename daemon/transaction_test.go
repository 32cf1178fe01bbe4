package daemon_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// beginTransaction opens a transaction and inserts one row in it.
func (c *cluster) beginTransaction(entry catalog.VMID, key string) *pgx.Conn {
	c.t.Helper()
	var last error
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(pollInterval) {
		p, err := c.connect(entry)
		if err == nil {
			_, err = query(p, "", "BEGIN")
		}
		if err == nil {
			_, err = query(p, "", fmt.Sprintf("INSERT INTO booking (key, value) VALUES ('%s', 'first')", key))
		}
		if err == nil {
			return p
		}
		last = err
	}
	c.t.Fatalf("no transaction at %s: %v", entry, last)
	return nil
}

// checkOtherCallers writes on several connections and fails the test if one of
// them is inside a transaction or if its write is not visible.
func (c *cluster) checkOtherCallers(name string) {
	c.t.Helper()
	for n := range 12 {
		entry := catalog.VMID(fmt.Sprint("e", n%3+1))
		key := fmt.Sprint(name, "-other-", n)
		p := c.mustConnect(entry)
		_, err := query(p, "", fmt.Sprintf("INSERT INTO other (key, value) VALUES ('%s', '%d')", key, n))
		status := p.PgConn().TxStatus()
		closeConn(p)
		if isNotRun(err) {
			continue
		}
		if err != nil || status != 'I' {
			c.t.Errorf("%s: %v, transaction status %c", key, err, status)
			continue
		}
		if got := c.mustRun("e1", "session=checks", fmt.Sprintf("SELECT value FROM other WHERE key = '%s'", key)); got != fmt.Sprint(n) {
			c.t.Errorf("%s is %q", key, got)
		}
	}
}

// checkRolledBack fails the test if the row of a rolled-back transaction is
// visible or can't be written by another caller.
func (c *cluster) checkRolledBack(key string) {
	c.t.Helper()
	if got := c.mustRun("e2", "session=checks", fmt.Sprintf("SELECT value FROM booking WHERE key = '%s'", key)); got != "" {
		c.t.Errorf("%s is visible as %q", key, got)
	}
	c.mustRun("e3", "request=again-"+key, fmt.Sprintf("INSERT INTO booking (key, value) VALUES ('%s', 'second')", key))
	if got := c.mustRun("e2", "session=checks", fmt.Sprintf("SELECT value FROM booking WHERE key = '%s'", key)); got != "second" {
		c.t.Errorf("%s is %q after the second caller's write", key, got)
	}
}

// A transaction that ends without a commit, because its caller, its entry or
// the primary fails, must be rolled back. No other caller may get a connection
// inside that transaction, and a late cancel must not reach another caller's
// statement.
func TestTransactionsDoNotLeak(t *testing.T) {
	c := newCluster(t)
	t.Run("caller dies", func(t *testing.T) {
		for n := range 6 {
			key := fmt.Sprint("dies-", n)
			h, err := c.beginTransaction("e1", key).PgConn().Hijack()
			if err != nil {
				t.Fatal(err)
			}
			_ = h.Conn.Close()
			c.checkRolledBack(key)
		}
		c.checkOtherCallers("dies")
	})
	t.Run("committed", func(t *testing.T) {
		// A committed write must be visible. Otherwise the checks for rollback
		// would prove nothing.
		p := c.beginTransaction("e1", "committed")
		if _, err := query(p, "", "COMMIT"); err != nil {
			t.Fatal(err)
		}
		if got := c.mustRun("e2", "session=checks", "SELECT value FROM booking WHERE key = 'committed'"); got != "first" {
			t.Errorf("a committed write is %q", got)
		}
	})
	t.Run("cancel late", func(t *testing.T) {
		late := c.mustConnect("e1")
		for n := range 30 {
			if _, err := query(late, "", fmt.Sprintf("INSERT INTO late (key, value) VALUES ('%d', '1')", n)); err != nil && !isNotRun(err) {
				t.Error(err)
			}
			done := make(chan struct{})
			go func() {
				defer close(done)
				ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
				defer cancel()
				_ = late.PgConn().CancelRequest(ctx)
			}()
			p := c.mustConnect("e1")
			_, err := query(p, "", fmt.Sprintf("INSERT INTO late (key, value) VALUES ('other-%d', '1')", n))
			if err != nil && !isNotRun(err) {
				t.Errorf("a statement of another caller: %v", err)
			}
			closeConn(p)
			<-done
		}
	})
	t.Run("entry killed", func(t *testing.T) {
		for n := range 3 {
			key := fmt.Sprint("killed-", n)
			p := c.beginTransaction("e1", key)
			c.kill("e1")
			if _, err := query(p, "", "COMMIT"); err == nil {
				t.Error("a transaction was committed through a killed entry")
			}
			c.start("e1", "")
			c.checkRolledBack(key)
		}
		c.mustRun("e1", "", "INSERT INTO ready (key, value) VALUES ('again', '1')")
		c.checkOtherCallers("killed")
	})
	t.Run("failover", func(t *testing.T) {
		p := c.beginTransaction("e2", "failover")
		c.stopPrimary()
		if _, err := query(p, "", "COMMIT"); err == nil {
			t.Error("a transaction was committed at a stopped upstream")
		}
		c.checkRolledBack("failover")
	})
}
