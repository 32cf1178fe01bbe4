package standin

import (
	"context"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// lockTimeout bounds the wait for a row that another transaction wrote.
const lockTimeout = 2 * time.Second

var errCanceled = &sqlError{
	code:    codeCanceled,
	message: "canceling statement due to user request",
}

// txn is one transaction. The store's lock guards all fields but readOnly.
type txn struct {
	store    *store
	readOnly bool
	changes  []change
	// latest finds the newest change of a row in changes.
	latest map[rowID]int
	held   []rowID
	// done is closed when the locks are released.
	done chan struct{}
	over bool
	// waits is the transaction whose row this one waits for.
	waits *txn
	// doomed is set when the instance stopped being the primary.
	doomed bool
}

func (d *store) begin(readOnly bool) *txn {
	return &txn{
		store:    d,
		readOnly: readOnly,
		latest:   map[rowID]int{},
		done:     make(chan struct{}),
	}
}

// get returns a row as the transaction sees it. The store is locked.
func (t *txn) get(id rowID) (string, bool) {
	if i, ok := t.latest[id]; ok {
		return t.changes[i].Value, !t.changes[i].Deleted
	}
	v, ok := t.store.tables[id.table][id.key]
	return v, ok
}

// put notes a change. The store is locked and the row is locked by t.
func (t *txn) put(c change) {
	t.latest[rowID{c.Table, c.Key}] = len(t.changes)
	t.changes = append(t.changes, c)
}

// rows returns a table as the transaction sees it. The store is locked.
func (t *txn) rows(table string) map[string]string {
	committed := t.store.tables[table]
	out := make(map[string]string, len(committed))
	for k, v := range committed {
		out[k] = v
	}
	for id, i := range t.latest {
		if id.table != table {
			continue
		}
		delete(out, id.key)
		if !t.changes[i].Deleted {
			out[id.key] = t.changes[i].Value
		}
	}
	return out
}

// writable returns an error if the transaction may not write.
func (t *txn) writable(what string) error {
	if t.doomed {
		return fail(codeConflict, "canceling statement due to conflict with recovery")
	}
	if t.readOnly || t.store.role != catalog.RolePrimary {
		return fail(codeReadOnly, "cannot execute %s in a read-only transaction", what)
	}
	return nil
}

// lock takes the row for the transaction. The store is locked on entry and on
// return, and unlocked while it waits; idle is called before and busy after.
func (t *txn) lock(ctx context.Context, id rowID, idle func(), busy func() error) error {
	deadline := time.NewTimer(lockTimeout)
	defer deadline.Stop()
	for {
		owner := t.store.locks[id]
		if owner == t {
			return nil
		}
		if owner == nil {
			t.store.locks[id] = t
			t.held = append(t.held, id)
			return nil
		}
		if owner.waitsFor(t) {
			return fail(codeDeadlock, "deadlock detected")
		}
		if err := t.wait(ctx, owner, deadline.C, idle, busy); err != nil {
			return err
		}
		if t.doomed || t.store.role != catalog.RolePrimary {
			return fail(codeConflict, "canceling statement due to conflict with recovery")
		}
	}
}

func (t *txn) waitsFor(other *txn) bool {
	for w := t; w != nil; w = w.waits {
		if w == other {
			return true
		}
	}
	return false
}

func (t *txn) wait(
	ctx context.Context, owner *txn, deadline <-chan time.Time, idle func(), busy func() error,
) error {
	t.waits = owner
	t.store.mu.Unlock()
	idle()
	var err error
	select {
	case <-owner.done:
	case <-deadline:
		err = fail(codeLockTimeout, "canceling statement due to lock timeout")
	case <-ctx.Done():
		err = errCanceled
	}
	if again := busy(); err == nil {
		err = again
	}
	t.store.mu.Lock()
	t.waits = nil
	return err
}

// release gives the locks back. The store is locked.
func (t *txn) release() {
	if t.over {
		return
	}
	t.over = true
	for _, id := range t.held {
		delete(t.store.locks, id)
	}
	close(t.done)
}

// commit ends the transaction and appends what it wrote to the log.
func (t *txn) commit() error {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	defer t.release()
	if len(t.changes) == 0 {
		return nil
	}
	if err := t.writable("COMMIT"); err != nil {
		return err
	}
	t.store.appendRecord(t.changes)
	return nil
}

// rollback ends the transaction without a trace.
func (t *txn) rollback() {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	t.release()
}
