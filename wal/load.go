package wal

import (
	"github.com/juju/errors"
	"go.etcd.io/bbolt"

	"github.com/kingcupknot/kingcupknot/quorum"
)

// Load reads the stored state. It returns false for a fresh folder, which needs
// Init, and ErrCorrupt if the state is incomplete or altered.
func (j *Log) Load() (quorum.PersistentState, bool, error) {
	var s quorum.PersistentState
	var found bool
	loc := &location{}
	err := recoverFaults(j.path, loc, func() error {
		return j.db.View(func(tx *bbolt.Tx) error {
			var err error
			found, err = load(tx, loc, &s)
			return err
		})
	})
	if err != nil {
		return quorum.PersistentState{}, false, errors.Trace(err)
	}
	return s, found, nil
}

func load(tx *bbolt.Tx, loc *location, s *quorum.PersistentState) (bool, error) {
	*loc = location{bucket: bucketMeta, key: keySelf}
	meta, records := tx.Bucket([]byte(bucketMeta)), tx.Bucket([]byte(bucketRecords))
	if meta == nil && records == nil && tx.ID() <= freshTxID {
		return false, nil
	}
	if meta == nil || records == nil {
		return false, errors.Annotate(ErrCorrupt, "a bucket is missing")
	}
	var last quorum.Index
	for _, v := range []struct {
		key   []byte
		value any
	}{{keySelf, &s.Self}, {keySnapshot, &s.Snapshot}, {keyVote, &s.Vote}, {keyLast, &last}} {
		*loc = location{bucket: bucketMeta, key: v.key}
		if err := decodeWithChecksum(*loc, meta.Get(v.key), v.value); err != nil {
			return false, errors.Trace(err)
		}
	}
	return true, loadRecords(records, loc, s, last)
}

// loadRecords loads the records after the snapshot. It returns ErrCorrupt
// unless all of them up to last are present and in order.
func loadRecords(b *bbolt.Bucket, loc *location, s *quorum.PersistentState, last quorum.Index) error {
	next := s.Snapshot.Index + 1
	c := b.Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		// The key is copied since the error that names it outlives the
		// transaction.
		*loc = location{bucket: bucketRecords, key: append([]byte(nil), k...)}
		var r quorum.Record
		if err := decodeWithChecksum(*loc, v, &r); err != nil {
			return errors.Trace(err)
		}
		if r.Index != next || recordIndex(k) != next {
			return errors.Annotatef(ErrCorrupt, "record %d is missing", next)
		}
		s.Records = append(s.Records, r)
		next++
	}
	if next != last+1 {
		*loc = location{bucket: bucketRecords, key: recordKey(next)}
		return errors.Annotatef(ErrCorrupt, "the log ends before record %d, not after record %d", next, last)
	}
	return nil
}
