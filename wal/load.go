package wal

import (
	"github.com/juju/errors"
	"go.etcd.io/bbolt"

	"github.com/kingcupknot/kingcupknot/quorum"
)

// Load reads all that the folder holds. It returns false for a fresh folder,
// which needs Init.
func (j *Log) Load() (quorum.PersistentState, bool, error) {
	var s quorum.PersistentState
	var found bool
	at := &place{}
	err := guard(j.path, at, func() error {
		return j.db.View(func(tx *bbolt.Tx) error {
			var err error
			found, err = load(tx, at, &s)
			return err
		})
	})
	if err != nil {
		return quorum.PersistentState{}, false, errors.Trace(err)
	}
	return s, found, nil
}

func load(tx *bbolt.Tx, at *place, s *quorum.PersistentState) (bool, error) {
	*at = place{bucket: bucketMeta, key: keySelf}
	meta, records := tx.Bucket([]byte(bucketMeta)), tx.Bucket([]byte(bucketRecords))
	if meta == nil && records == nil && tx.ID() <= freshID {
		return false, nil
	}
	if meta == nil || records == nil {
		return false, errors.Annotate(ErrDamaged, "a bucket is missing")
	}
	var last quorum.Index
	for _, v := range []struct {
		key   []byte
		value any
	}{{keySelf, &s.Self}, {keySnapshot, &s.Snapshot}, {keyVote, &s.Vote}, {keyLast, &last}} {
		*at = place{bucket: bucketMeta, key: v.key}
		if err := unseal(*at, meta.Get(v.key), v.value); err != nil {
			return false, errors.Trace(err)
		}
	}
	return true, loadRecords(records, at, s, last)
}

// loadRecords wants every record up to the last in its place.
func loadRecords(b *bbolt.Bucket, at *place, s *quorum.PersistentState, last quorum.Index) error {
	next := s.Snapshot.Index + 1
	c := b.Cursor()
	for k, v := c.First(); k != nil; k, v = c.Next() {
		// The key is copied since an error outlives the transaction.
		*at = place{bucket: bucketRecords, key: append([]byte(nil), k...)}
		var r quorum.Record
		if err := unseal(*at, v, &r); err != nil {
			return errors.Trace(err)
		}
		if r.Index != next || recordIndex(k) != next {
			return errors.Annotatef(ErrDamaged, "record %d is missing", next)
		}
		s.Records = append(s.Records, r)
		next++
	}
	if next != last+1 {
		*at = place{bucket: bucketRecords, key: recordKey(next)}
		return errors.Annotatef(ErrDamaged, "the log ends before record %d, not after record %d", next, last)
	}
	return nil
}
