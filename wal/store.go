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
	// keyLast holds the index of the last record, so that a missing record at
	// the end of the log is detected.
	keyLast = []byte("last")
)

// writeTx is a write transaction on the log's file.
type writeTx struct {
	// location is where the transaction currently reads or writes, for errors.
	location      location
	meta, records *bbolt.Bucket
	// id is bbolt's id of the transaction.
	id int
	// lastIndex is the index of the last record in the log.
	lastIndex quorum.Index
}

func (t *writeTx) openBuckets(tx *bbolt.Tx) error {
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

func (t *writeTx) get(key []byte, value any) error {
	t.location = location{bucket: bucketMeta, key: key}
	return decodeWithChecksum(t.location, t.meta.Get(key), value)
}

func (t *writeTx) put(b *bbolt.Bucket, bucket string, key []byte, value any) error {
	t.location = location{bucket: bucket, key: key}
	encoded, err := encodeWithChecksum(t.location, value)
	if err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(b.Put(key, encoded))
}

// apply carries out one write, in this order: vote, truncation, snapshot,
// records.
func (t *writeTx) apply(w quorum.Write) error {
	if w.Vote != nil {
		if err := t.put(t.meta, bucketMeta, keyVote, *w.Vote); err != nil {
			return errors.Trace(err)
		}
	}
	if w.TruncateFrom > 0 {
		if err := t.deleteRecords(w.TruncateFrom, ^quorum.Index(0)); err != nil {
			return errors.Trace(err)
		}
		t.lastIndex = min(t.lastIndex, w.TruncateFrom-1)
	}
	if w.Snapshot != nil {
		if err := t.put(t.meta, bucketMeta, keySnapshot, *w.Snapshot); err != nil {
			return errors.Trace(err)
		}
		if err := t.deleteRecords(0, w.Snapshot.Index); err != nil {
			return errors.Trace(err)
		}
		t.lastIndex = max(t.lastIndex, w.Snapshot.Index)
	}
	for _, r := range w.Append {
		if r.Index != t.lastIndex+1 {
			return errors.Errorf("record %d does not follow record %d", r.Index, t.lastIndex)
		}
		t.lastIndex = r.Index
		if err := t.put(t.records, bucketRecords, recordKey(r.Index), r); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// deleteRecords deletes the records from first to last, both included.
func (t *writeTx) deleteRecords(first, last quorum.Index) error {
	var keys [][]byte
	c := t.records.Cursor()
	for k, _ := c.Seek(recordKey(first)); k != nil && recordIndex(k) <= last; k, _ = c.Next() {
		keys = append(keys, append([]byte(nil), k...))
	}
	for _, k := range keys {
		t.location = location{bucket: bucketRecords, key: k}
		if err := t.records.Delete(k); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// recordKey encodes an index as a key that sorts in the order of the indices.
func recordKey(i quorum.Index) []byte {
	return binary.BigEndian.AppendUint64(nil, uint64(i))
}

// recordIndex decodes a record's key. For a key of another length it returns
// the highest index.
func recordIndex(key []byte) quorum.Index {
	if len(key) != recordKeyBytes {
		return ^quorum.Index(0)
	}
	return quorum.Index(binary.BigEndian.Uint64(key))
}
