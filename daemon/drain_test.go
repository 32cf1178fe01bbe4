package daemon_test

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// writeLoad inserts unique rows on several connections until it is stopped.
type writeLoad struct {
	c       *cluster
	stopped atomic.Bool
	group   sync.WaitGroup
	mutex   sync.Mutex
	acked   []string
	// unanswered holds the keys of inserts that were neither acknowledged nor
	// refused.
	unanswered []string
}

func (c *cluster) startLoad(name string, entries ...catalog.VMID) *writeLoad {
	l := &writeLoad{c: c}
	for n := range 8 {
		entry := entries[n%len(entries)]
		l.group.Go(func() { l.run(entry, fmt.Sprint(name, "-", n)) })
	}
	return l
}

func (l *writeLoad) run(entry catalog.VMID, name string) {
	p, err := l.c.connect(entry)
	for n := 0; err == nil && !l.stopped.Load(); n++ {
		key := fmt.Sprint(name, "-", n)
		_, err = query(p, "", fmt.Sprintf("INSERT INTO load (key, value) VALUES ('%s', '1')", key))
		l.mutex.Lock()
		switch {
		case err == nil:
			l.acked = append(l.acked, key)
		case !isNotRun(err):
			l.unanswered = append(l.unanswered, key)
			l.c.t.Logf("%s ended with: %v", key, err)
		}
		l.mutex.Unlock()
		if isNotRun(err) && !p.IsClosed() {
			err = nil
			time.Sleep(pollInterval)
		}
	}
}

func (l *writeLoad) acknowledged() int {
	l.mutex.Lock()
	defer l.mutex.Unlock()
	return len(l.acked)
}

// awaitAcknowledged waits until count more inserts are acknowledged.
func (l *writeLoad) awaitAcknowledged(count int) {
	l.c.t.Helper()
	want := l.acknowledged() + count
	for end := time.Now().Add(waitTimeout); l.acknowledged() < want && time.Now().Before(end); {
		time.Sleep(pollInterval)
	}
}

// check stops the load and fails the test if an insert ran without being
// acknowledged. Connections may only end between requests.
func (l *writeLoad) check(entry catalog.VMID) {
	l.c.t.Helper()
	l.stopped.Store(true)
	l.group.Wait()
	for _, key := range l.unanswered {
		if l.c.mustRun(entry, "session=checks", fmt.Sprintf("SELECT value FROM load WHERE key = '%s'", key)) != "" {
			l.c.t.Errorf("request %s ran but was not answered", key)
		}
	}
	l.c.t.Logf("%d acknowledged, %d connections ended between requests", len(l.acked), len(l.unanswered))
}

// A planned stop of an entry must not cut a request that has run: each one is
// answered before the entry closes its connection.
func TestPlannedStops(t *testing.T) {
	c := newCluster(t)
	t.Run("killed", func(t *testing.T) {
		// Killing an entry must cut at least one answer within some attempts.
		// Otherwise the check of a planned stop would prove nothing.
		for attempt := 0; ; attempt++ {
			l := c.startLoad(fmt.Sprint("killed-", attempt), "e3")
			l.awaitAcknowledged(20)
			c.kill("e3")
			l.stopped.Store(true)
			l.group.Wait()
			ran := 0
			for _, key := range l.unanswered {
				if c.mustRun("e1", "session=checks", fmt.Sprintf("SELECT value FROM load WHERE key = '%s'", key)) != "" {
					ran++
				}
			}
			c.start("e3", "")
			c.mustRun("e3", "", fmt.Sprintf("INSERT INTO ready (key, value) VALUES ('killed-%d', '1')", attempt))
			if ran > 0 || attempt == 20 {
				t.Logf("attempt %d: %d ran without an answer", attempt, ran)
				if ran == 0 {
					t.Error("no killed entry left a request that ran unanswered")
				}
				return
			}
		}
	})
	t.Run("entry", func(t *testing.T) {
		l := c.startLoad("entry", "e2", "e3")
		l.awaitAcknowledged(50)
		if err := c.stop("e2"); err != nil {
			t.Errorf("the entry stopped with %v", err)
		}
		l.awaitAcknowledged(20)
		l.check("e3")
		c.start("e2", "")
	})
}

// A planned stop of the control leader must hand over leadership before the
// primary's lease expires. Otherwise requests end with an unknown outcome.
func TestPlannedStopOfControl(t *testing.T) {
	c := newCluster(t)
	leader := c.status("e1").Leader
	l := c.startLoad("control", "e1", "e3")
	l.awaitAcknowledged(50)
	if err := c.stop(leader); err != nil {
		t.Errorf("control stopped with %v", err)
	}
	if next := c.status("e1").Leader; next == leader {
		t.Errorf("%s was stopped and is still the leader", next)
	}
	l.awaitAcknowledged(50)
	l.check("e3")
	if len(l.unanswered) > 0 {
		t.Errorf("%d requests were not answered because of the stop of control", len(l.unanswered))
	}
}

// An entry that was down during many changes must reach the current version of
// the settings after its restart, and must never go back to an older one.
func TestEntryCatchesUpOnMissedChanges(t *testing.T) {
	const changes = 300
	c := newCluster(t)
	seen := c.settingsVersionAt("e3")
	c.kill("e3")
	for n := range changes {
		r := c.command("k1", node.Command{
			Change: catalog.ChangeID(fmt.Sprint("change-", n)),
			Drain:  &node.DrainUpstream{Instance: "elsewhere", Off: n%2 == 1},
		})
		if r.Code != node.ReplyOK {
			t.Fatalf("change %d: %+v", n, r)
		}
	}
	want := c.command("k1", node.Command{Settings: &node.SettingsQuery{}}).Version
	if want < changes {
		t.Fatalf("version %d after %d changes", want, changes)
	}
	c.start("e3", "")
	c.mustRun("e3", "", "INSERT INTO ready (key, value) VALUES ('missed', '1')")
	for end := time.Now().Add(waitTimeout); ; time.Sleep(pollInterval) {
		v := c.settingsVersionAt("e3")
		if v != 0 && v < seen {
			t.Fatalf("e3 has version %d and had %d", v, seen)
		}
		seen = max(seen, v)
		if v == want {
			return
		}
		if time.Now().After(end) {
			t.Fatalf("e3 has version %d and not %d", v, want)
		}
	}
}

func (c *cluster) settingsVersionAt(vm catalog.VMID) catalog.Version {
	for _, e := range c.status("k1").Entries {
		if e.VM == vm {
			return e.Settings
		}
	}
	return 0
}
