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
	// latestChange finds the newest change of a row in changes.
	latestChange map[rowID]int
	lockedRows   []rowID
	// done is closed when the locks are released.
	done     chan struct{}
	released bool
	// waitingFor is the transaction whose row this one waitingFor for.
	waitingFor *txn
	// mustAbort is set when the instance stopped being the primary.
	mustAbort bool
}

func (d *store) begin(readOnly bool) *txn {
	return &txn{
		store:        d,
		readOnly:     readOnly,
		latestChange: map[rowID]int{},
		done:         make(chan struct{}),
	}
}

// get returns a row as the transaction sees it. The store is locked.
func (t *txn) get(id rowID) (string, bool) {
	if i, ok := t.latestChange[id]; ok {
		return t.changes[i].Value, !t.changes[i].Deleted
	}
	v, ok := t.store.tables[id.table][id.key]
	return v, ok
}

// addChange notes a change. The store is locked and the row is locked by t.
func (t *txn) addChange(c change) {
	t.latestChange[rowID{c.Table, c.Key}] = len(t.changes)
	t.changes = append(t.changes, c)
}

// rows returns a table as the transaction sees it. The store is locked.
func (t *txn) rows(table string) map[string]string {
	committed := t.store.tables[table]
	out := make(map[string]string, len(committed))
	for k, v := range committed {
		out[k] = v
	}
	for id, i := range t.latestChange {
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

// checkWritable returns an error if the transaction may not write.
func (t *txn) checkWritable(command string) error {
	if t.mustAbort {
		return newSQLError(codeConflict, "canceling statement due to conflict with recovery")
	}
	if t.readOnly || t.store.role != catalog.RolePrimary {
		return newSQLError(codeReadOnly, "cannot execute %s in a read-only transaction", command)
	}
	return nil
}

// lockRow takes the row for the transaction. The store is locked on entry and on
// return, and unlocked while it waits; idle is called before and busy after.
func (t *txn) lockRow(ctx context.Context, id rowID, releaseSlot func(), acquireSlot func() error) error {
	deadline := time.NewTimer(lockTimeout)
	defer deadline.Stop()
	for {
		owner := t.store.rowLocks[id]
		if owner == t {
			return nil
		}
		if owner == nil {
			t.store.rowLocks[id] = t
			t.lockedRows = append(t.lockedRows, id)
			return nil
		}
		if owner.waitsFor(t) {
			return newSQLError(codeDeadlock, "deadlock detected")
		}
		if err := t.waitForOwner(ctx, owner, deadline.C, releaseSlot, acquireSlot); err != nil {
			return err
		}
		if t.mustAbort || t.store.role != catalog.RolePrimary {
			return newSQLError(codeConflict, "canceling statement due to conflict with recovery")
		}
	}
}

func (t *txn) waitsFor(other *txn) bool {
	for w := t; w != nil; w = w.waitingFor {
		if w == other {
			return true
		}
	}
	return false
}

func (t *txn) waitForOwner(
	ctx context.Context, owner *txn, deadline <-chan time.Time, releaseSlot func(), acquireSlot func() error,
) error {
	t.waitingFor = owner
	t.store.mu.Unlock()
	releaseSlot()
	var err error
	select {
	case <-owner.done:
	case <-deadline:
		err = newSQLError(codeLockTimeout, "canceling statement due to lock timeout")
	case <-ctx.Done():
		err = errCanceled
	}
	if slotErr := acquireSlot(); err == nil {
		err = slotErr
	}
	t.store.mu.Lock()
	t.waitingFor = nil
	return err
}

// releaseLocks gives the locks back. The store is locked.
func (t *txn) releaseLocks() {
	if t.released {
		return
	}
	t.released = true
	for _, id := range t.lockedRows {
		delete(t.store.rowLocks, id)
	}
	close(t.done)
}

// commit ends the transaction and appends what it wrote to the log.
func (t *txn) commit() error {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	defer t.releaseLocks()
	if len(t.changes) == 0 {
		return nil
	}
	if err := t.checkWritable("COMMIT"); err != nil {
		return err
	}
	t.store.appendRecord(t.changes)
	return nil
}

// rollback ends the transaction without a trace.
func (t *txn) rollback() {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	t.releaseLocks()
}
