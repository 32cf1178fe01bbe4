package standin

import (
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// logBatchSize is the largest number of records that are sent to a follower
// between two flushes.
const logBatchSize = 1000

// rowID identifies a row.
type rowID struct {
	table string
	key   string
}

// store holds the data of one instance and its log.
type store struct {
	mu     sync.Mutex
	tables map[string]map[string]string
	// log holds the applied records. Invariant: EndOffset ascends.
	log []record
	// pending holds the records that were received but not applied yet.
	pending []record
	// timelines is the history. Invariant: StartOffset never decreases, and a
	// primary writes to the last timeline.
	timelines []timeline
	role      catalog.Role
	// instance is part of the IDs of the timelines that this instance begins.
	instance string
	// rowLocks maps each locked row to the transaction that holds the lock.
	rowLocks map[rowID]*txn
	// changed is closed and replaced whenever the log, the pending records, the
	// history, the role or the lag change.
	changed chan struct{}
	lag     time.Duration
}

func newStore(instance string, primary bool, lag time.Duration) *store {
	d := &store{
		tables:   map[string]map[string]string{},
		rowLocks: map[rowID]*txn{},
		changed:  make(chan struct{}),
		instance: instance,
		lag:      lag,
		role:     catalog.RoleReplica,
	}
	if primary {
		d.role = catalog.RolePrimary
		d.timelines = []timeline{{Term: 1, ID: d.newTimelineID()}}
	}
	return d
}

func (d *store) newTimelineID() string {
	return d.instance + "-" + strconv.FormatInt(unixNano(), 36)
}

func (d *store) notifyChanged() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *store) offset() catalog.Offset {
	if len(d.log) == 0 {
		return 0
	}
	return d.log[len(d.log)-1].EndOffset
}

func (d *store) position() catalog.Position {
	p := catalog.Position{Offset: d.offset()}
	for _, e := range d.timelines {
		if e.StartOffset <= p.Offset {
			p.Term = e.Term
		}
	}
	return p
}

// status returns the role and the position up to which the log is applied.
func (d *store) status() (catalog.Role, catalog.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role, d.position()
}

func (d *store) applyRecord(r record) {
	for _, c := range r.Changes {
		t := d.tables[c.Table]
		if t == nil {
			t = map[string]string{}
			d.tables[c.Table] = t
		}
		if c.Deleted {
			delete(t, c.Key)
			continue
		}
		t[c.Key] = c.Value
	}
	d.log = append(d.log, r)
}

// appendRecord commits changes as the next record of the log.
func (d *store) appendRecord(changes []change) {
	d.applyRecord(record{EndOffset: d.offset() + recordSize(changes), CommitUnixNano: unixNano(), Changes: changes})
	d.notifyChanged()
}

// sortedKeys returns the keys of a table in ascending order.
func sortedKeys(rows map[string]string) []string {
	out := make([]string, 0, len(rows))
	for k := range rows {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// promote applies all received records and makes the replica the primary. The
// new term is greater than after and than every term of the history. It returns
// false if the instance is a primary already.
func (d *store) promote(after catalog.Term) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role == catalog.RolePrimary {
		return false
	}
	for _, r := range d.pending {
		d.applyRecord(r)
	}
	d.pending = nil
	at, term, kept := d.offset(), after, []timeline{}
	for _, e := range d.timelines {
		term = max(term, e.Term)
		if e.StartOffset <= at {
			kept = append(kept, e)
		}
	}
	d.timelines = append(kept, timeline{Term: term + 1, StartOffset: at, ID: d.newTimelineID()})
	d.role = catalog.RolePrimary
	d.notifyChanged()
	return true
}

// demote makes the instance a replica and aborts the transactions that hold row
// locks.
func (d *store) demote() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role == catalog.RoleReplica {
		return
	}
	d.role = catalog.RoleReplica
	for _, t := range d.rowLocks {
		t.mustAbort = true
	}
	for _, t := range d.rowLocks {
		t.releaseLocks()
	}
	d.notifyChanged()
}

// rewind adopts the history of another instance and truncates the log to the
// offset up to which the two histories agree. It returns false if the remote
// history is a proper prefix of the local one.
func (d *store) rewind(remote []timeline) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, cut, behind := findFork(d.timelines, remote)
	if behind {
		return false
	}
	d.timelines = append([]timeline{}, remote...)
	if cut {
		d.truncate(at)
	}
	d.notifyChanged()
	return true
}

func (d *store) truncate(at catalog.Offset) {
	d.pending = recordsUpTo(d.pending, at)
	if d.offset() <= at {
		return
	}
	kept := recordsUpTo(d.log, at)
	d.pending, d.log = nil, nil
	d.tables = map[string]map[string]string{}
	for _, r := range kept {
		d.applyRecord(r)
	}
}

func recordsUpTo(records []record, at catalog.Offset) []record {
	n := sort.Search(len(records), func(i int) bool { return records[i].EndOffset > at })
	return append([]record{}, records[:n]...)
}

// receivedPosition returns the latest term and the offset up to which records
// were received.
func (d *store) receivedPosition() (catalog.Term, catalog.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.offset()
	if n := len(d.pending); n > 0 {
		at = d.pending[n-1].EndOffset
	}
	if len(d.timelines) == 0 {
		return 0, at
	}
	return d.timelines[len(d.timelines)-1].Term, at
}

// receive queues a record of the followed instance's log for application. A
// primary ignores it.
func (d *store) receive(r record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role != catalog.RoleReplica {
		return
	}
	d.pending = append(d.pending, r)
	d.notifyChanged()
}

// applyDue applies the pending records whose lag has passed. It returns the
// time until the next record is due, or 0 if none is pending, and a channel
// that is closed on the next change.
func (d *store) applyDue() (time.Duration, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	appliedCount := 0
	for _, r := range d.pending {
		if wait := time.Duration(r.CommitUnixNano + int64(d.lag) - unixNano()); wait > 0 {
			break
		}
		d.applyRecord(r)
		appliedCount++
	}
	d.pending = d.pending[appliedCount:]
	if appliedCount > 0 {
		d.notifyChanged()
	}
	if len(d.pending) == 0 {
		return 0, d.changed
	}
	return max(time.Duration(d.pending[0].CommitUnixNano+int64(d.lag)-unixNano()), 1), d.changed
}

func (d *store) setLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
	d.notifyChanged()
}

// recordsAfter returns at most logBatchSize records past an offset, and a
// channel that is closed on the next change. It returns false if the term is
// not the last of the history.
func (d *store) recordsAfter(term catalog.Term, at catalog.Offset) ([]record, <-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.timelines) == 0 || d.timelines[len(d.timelines)-1].Term != term {
		return nil, nil, false
	}
	n := sort.Search(len(d.log), func(i int) bool { return d.log[i].EndOffset > at })
	end := min(len(d.log), n+logBatchSize)
	return append([]record{}, d.log[n:end]...), d.changed, true
}

func (d *store) history() []timeline {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]timeline{}, d.timelines...)
}
