package standin

import (
	"context"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// lockTimeout limits the wait for a row that another transaction has locked.
const lockTimeout = 2 * time.Second

// errCanceled is returned when the context of a statement ends.
var errCanceled = &sqlError{
	code:    codeCanceled,
	message: "canceling statement due to user request",
}

// txn is one transaction. The store's mutex guards all fields except readOnly.
type txn struct {
	store    *store
	readOnly bool
	changes  []change
	// latestChange maps a row to the index of its latest change in changes.
	latestChange map[rowID]int
	lockedRows   []rowID
	// done is closed when the locks are released.
	done     chan struct{}
	released bool
	// waitingFor is the transaction whose row lock this one waits for, or nil.
	waitingFor *txn
	// mustAbort is true if the transaction held row locks when the instance
	// stopped being the primary.
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

// get returns the value of a row as the transaction sees it, and whether the
// row exists. The caller must hold the store's mutex.
func (t *txn) get(id rowID) (string, bool) {
	if i, ok := t.latestChange[id]; ok {
		return t.changes[i].Value, !t.changes[i].Deleted
	}
	v, ok := t.store.tables[id.table][id.key]
	return v, ok
}

// addChange adds a change to the transaction. The caller must hold the store's
// mutex, and t must hold the row lock.
func (t *txn) addChange(c change) {
	t.latestChange[rowID{c.Table, c.Key}] = len(t.changes)
	t.changes = append(t.changes, c)
}

// rows returns the values of a table by key, as the transaction sees them. The
// caller must hold the store's mutex.
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

// checkWritable returns an error if the transaction must not write. If the
// transaction is read-only, the error names the command. The caller must hold
// the store's mutex.
func (t *txn) checkWritable(command string) error {
	if t.mustAbort {
		return newSQLError(codeSerializationFailure, "canceling statement due to conflict with recovery")
	}
	if t.readOnly || t.store.role != catalog.RolePrimary {
		return newSQLError(codeReadOnly, "cannot execute %s in a read-only transaction", command)
	}
	return nil
}

// lockRow acquires the lock of a row. The caller must hold the store's mutex,
// which is released during a wait. lockRow calls releaseSlot before each wait
// and acquireSlot after it, both without the mutex. It returns an error on a
// deadlock, after lockTimeout, if the context ends, or if the instance stops
// being the primary.
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
			return newSQLError(codeSerializationFailure, "canceling statement due to conflict with recovery")
		}
	}
}

// waitsFor reports whether t is other, or waits for it directly or through
// other transactions. The caller must hold the store's mutex.
func (t *txn) waitsFor(other *txn) bool {
	for w := t; w != nil; w = w.waitingFor {
		if w == other {
			return true
		}
	}
	return false
}

// waitForOwner waits until owner releases its row locks. It returns an error if
// the deadline passes, the context ends or no slot is acquired. The caller must
// hold the store's mutex, which is released during the wait.
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

// releaseLocks releases the row locks of the transaction. The caller must hold
// the store's mutex.
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

// commit ends the transaction and appends its changes to the log as one record.
// If the transaction must not write, commit discards the changes and returns an
// error.
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

// rollback ends the transaction and discards its changes.
func (t *txn) rollback() {
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	t.releaseLocks()
}
