package standin

import (
	"sort"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// batch is how many records a follower is sent between two flushes.
const batch = 1000

// rowID names one row.
type rowID struct {
	table string
	key   string
}

// store is the data of one instance with its log.
type store struct {
	mu     sync.Mutex
	tables map[string]map[string]string
	// log holds the applied records. Invariant: End ascends.
	log []record
	// pending are records received and not yet applied.
	pending []record
	// eras is the history. Invariant: At never falls; a primary's last era is
	// the one it writes.
	eras []era
	role catalog.Role
	// name makes the ids of eras that begin here.
	name  string
	locks map[rowID]*txn
	// changed is closed and replaced whenever anything above changes.
	changed chan struct{}
	lag     time.Duration
}

func newStore(name string, primary bool, lag time.Duration) *store {
	d := &store{
		tables:  map[string]map[string]string{},
		locks:   map[rowID]*txn{},
		changed: make(chan struct{}),
		name:    name,
		lag:     lag,
		role:    catalog.RoleReplica,
	}
	if primary {
		d.role = catalog.RolePrimary
		d.eras = []era{{Term: 1, ID: d.eraID()}}
	}
	return d
}

func (d *store) eraID() string {
	return d.name + "-" + strconv.FormatInt(now(), 36)
}

func (d *store) signal() {
	close(d.changed)
	d.changed = make(chan struct{})
}

func (d *store) offset() catalog.Offset {
	if len(d.log) == 0 {
		return 0
	}
	return d.log[len(d.log)-1].End
}

func (d *store) position() catalog.Position {
	p := catalog.Position{Offset: d.offset()}
	for _, e := range d.eras {
		if e.StartOffset <= p.Offset {
			p.Term = e.Term
		}
	}
	return p
}

// status returns the role and the position.
func (d *store) status() (catalog.Role, catalog.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.role, d.position()
}

func (d *store) apply(r record) {
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

// appendRecord commits changes as the next record.
func (d *store) appendRecord(changes []change) {
	d.apply(record{End: d.offset() + size(changes), CommitUnixNano: now(), Changes: changes})
	d.signal()
}

// keys returns the sorted keys of a table.
func keys(rows map[string]string) []string {
	out := make([]string, 0, len(rows))
	for k := range rows {
		out = append(out, k)
	}
	sort.Strings(out)
	return out
}

// promote makes a replica the primary, once it has applied all it received.
// The new term is above after and above all that the instance knows of.
func (d *store) promote(after catalog.Term) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role == catalog.RolePrimary {
		return false
	}
	for _, r := range d.pending {
		d.apply(r)
	}
	d.pending = nil
	at, term, kept := d.offset(), after, []era{}
	for _, e := range d.eras {
		term = max(term, e.Term)
		if e.StartOffset <= at {
			kept = append(kept, e)
		}
	}
	d.eras = append(kept, era{Term: term + 1, StartOffset: at, ID: d.eraID()})
	d.role = catalog.RolePrimary
	d.signal()
	return true
}

// demote makes the instance a replica and ends transactions that wrote.
func (d *store) demote() {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role == catalog.RoleReplica {
		return
	}
	d.role = catalog.RoleReplica
	for _, t := range d.locks {
		t.doomed = true
	}
	for _, t := range d.locks {
		t.release()
	}
	d.signal()
}

// rewind takes over the history of another instance and cuts the log back to
// where the two part. It reports false if the other is behind.
func (d *store) rewind(theirs []era) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	at, cut, behind := parted(d.eras, theirs)
	if behind {
		return false
	}
	d.eras = append([]era{}, theirs...)
	if cut {
		d.cut(at)
	}
	d.signal()
	return true
}

func (d *store) cut(at catalog.Offset) {
	d.pending = upTo(d.pending, at)
	if d.offset() <= at {
		return
	}
	kept := upTo(d.log, at)
	d.pending, d.log = nil, nil
	d.tables = map[string]map[string]string{}
	for _, r := range kept {
		d.apply(r)
	}
}

func upTo(records []record, at catalog.Offset) []record {
	n := sort.Search(len(records), func(i int) bool { return records[i].End > at })
	return append([]record{}, records[:n]...)
}

// received returns the offset up to which records arrived, and the newest term.
func (d *store) received() (catalog.Term, catalog.Offset) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := d.offset()
	if n := len(d.pending); n > 0 {
		at = d.pending[n-1].End
	}
	if len(d.eras) == 0 {
		return 0, at
	}
	return d.eras[len(d.eras)-1].Term, at
}

// receive takes one record from the upstream's log.
func (d *store) receive(r record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.role != catalog.RoleReplica {
		return
	}
	d.pending = append(d.pending, r)
	d.signal()
}

// applyDue applies the pending records whose lag has passed. It returns the
// time until the next one, or 0 if none is pending, and what to wait on.
func (d *store) applyDue() (time.Duration, <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	applied := 0
	for _, r := range d.pending {
		if wait := time.Duration(r.CommitUnixNano + int64(d.lag) - now()); wait > 0 {
			break
		}
		d.apply(r)
		applied++
	}
	d.pending = d.pending[applied:]
	if applied > 0 {
		d.signal()
	}
	if len(d.pending) == 0 {
		return 0, d.changed
	}
	return max(time.Duration(d.pending[0].CommitUnixNano+int64(d.lag)-now()), 1), d.changed
}

func (d *store) setLag(lag time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lag = lag
	d.signal()
}

// after returns at most a batch of records past an offset as long as the history still ends
// with the term, and what to wait on for more.
func (d *store) after(term catalog.Term, at catalog.Offset) ([]record, <-chan struct{}, bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if len(d.eras) == 0 || d.eras[len(d.eras)-1].Term != term {
		return nil, nil, false
	}
	n := sort.Search(len(d.log), func(i int) bool { return d.log[i].End > at })
	end := min(len(d.log), n+batch)
	return append([]record{}, d.log[n:end]...), d.changed, true
}

func (d *store) history() []era {
	d.mu.Lock()
	defer d.mu.Unlock()
	return append([]era{}, d.eras...)
}
