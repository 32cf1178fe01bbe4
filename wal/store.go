package wal

import (
	"encoding/binary"

	"github.com/juju/errors"
	"go.etcd.io/bbolt"

	"github.com/kingcupknot/kingcupknot/quorum"
)

const (
	bucketMeta    = "meta"
	bucketRecords = "records"
)

var (
	keySelf     = []byte("self")
	keyVote     = []byte("vote")
	keySnapshot = []byte("snapshot")
	// keyLast holds the last record's index, so that a lost one is missed.
	keyLast = []byte("last")
)

// target is the content of the file within one transaction that writes.
type target struct {
	place         place
	meta, records *bbolt.Bucket
	// id numbers the transaction.
	id int
	// last is the end of the log.
	last quorum.Index
}

func (t *target) open(tx *bbolt.Tx) error {
	var err error
	t.id = tx.ID()
	if t.meta, err = tx.CreateBucketIfNotExists([]byte(bucketMeta)); err != nil {
		return errors.Trace(err)
	}
	if t.records, err = tx.CreateBucketIfNotExists([]byte(bucketRecords)); err != nil {
		return errors.Trace(err)
	}
	t.records.FillPercent = fillPercent
	return nil
}

func (t *target) get(key []byte, value any) error {
	t.place = place{bucket: bucketMeta, key: key}
	return unseal(t.place, t.meta.Get(key), value)
}

func (t *target) put(b *bbolt.Bucket, bucket string, key []byte, value any) error {
	t.place = place{bucket: bucket, key: key}
	sealed, err := seal(t.place, value)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(b.Put(key, sealed))
}

// apply carries out one write in the order that quorum.Write asks for.
func (t *target) apply(w quorum.Write) error {
	if w.Vote != nil {
		if err := t.put(t.meta, bucketMeta, keyVote, *w.Vote); err != nil {
			return errors.Trace(err)
		}
	}
	if w.TruncateFrom > 0 {
		if err := t.drop(w.TruncateFrom, ^quorum.Index(0)); err != nil {
			return errors.Trace(err)
		}
		t.last = min(t.last, w.TruncateFrom-1)
	}
	if w.Snapshot != nil {
		if err := t.put(t.meta, bucketMeta, keySnapshot, *w.Snapshot); err != nil {
			return errors.Trace(err)
		}
		if err := t.drop(0, w.Snapshot.Index); err != nil {
			return errors.Trace(err)
		}
		t.last = max(t.last, w.Snapshot.Index)
	}
	for _, r := range w.Append {
		if r.Index != t.last+1 {
			return errors.Errorf("record %d does not follow record %d", r.Index, t.last)
		}
		t.last = r.Index
		if err := t.put(t.records, bucketRecords, recordKey(r.Index), r); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// drop deletes the records from first to last.
func (t *target) drop(first, last quorum.Index) error {
	var keys [][]byte
	c := t.records.Cursor()
	for k, _ := c.Seek(recordKey(first)); k != nil && recordIndex(k) <= last; k, _ = c.Next() {
		keys = append(keys, append([]byte(nil), k...))
	}
	for _, k := range keys {
		t.place = place{bucket: bucketRecords, key: k}
		if err := t.records.Delete(k); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// recordKey keeps the records in the order of their indices.
func recordKey(i quorum.Index) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(i))
}

// recordIndex reads a key; one of another length is later than all.
func recordIndex(key []byte) quorum.Index {
	if len(key) != recordKeyBytes {
		return ^quorum.Index(0)
	}
	return quorum.Index(binary.BigEndian.Uint64(key))
}
