// Package wal keeps a control VM's part of the agreement in its data
// folder, each write in one synced transaction.
package wal

import (
	"os"
	"path/filepath"
	"time"

	"github.com/juju/errors"
	"go.etcd.io/bbolt"

	"github.com/kingcupknot/kingcupknot/quorum"
)

const (
	fileName    = "wal.db"
	folderMode  = 0o700
	fileMode    = 0o600
	lockTimeout = time.Second
	// fillPercent packs pages tightly, as records are only appended.
	fillPercent = 0.9
	// freshTxID is the transaction that a file without any write is at.
	freshTxID = 1
)

// ErrAlreadyInitialised says that the folder already holds a member's log.
const ErrAlreadyInitialised = errors.ConstError("log is initialised already")

// ErrNotInitialised says that Init must come before Store.
const ErrNotInitialised = errors.ConstError("log is not initialised")

// ErrCorrupt says that what the file holds is not what was stored.
const ErrCorrupt = errors.ConstError("log is damaged")

// Log is an open data folder. Only one process can hold it.
type Log struct {
	db   *bbolt.DB
	path string
}

// Open opens the log of a data folder and creates both if need be.
func Open(folder string) (*Log, error) {
	if err := os.MkdirAll(folder, folderMode); err != nil {
		return nil, errors.Trace(err)
	}
	j := &Log{path: filepath.Join(folder, fileName)}
	if err := recoverFaults(j.path, &location{}, j.open); err != nil {
		return nil, errors.Trace(err)
	}
	if err := syncFolder(folder); err != nil {
		_ = j.db.Close()
		return nil, errors.Trace(err)
	}
	return j, nil
}

func (j *Log) open() error {
	if err := checkHeads(j.path); err != nil {
		return errors.Trace(err)
	}
	db, err := bbolt.Open(j.path, fileMode, &bbolt.Options{
		Timeout:      lockTimeout,
		FreelistType: bbolt.FreelistMapType,
	})
	if err != nil {
		return errors.Trace(err)
	}
	j.db = db
	return nil
}

// syncFolder makes the file's name as durable as its content.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	return errors.Trace(f.Sync())
}

// Init makes a fresh folder the start of a member. The members are those the
// group begins with; a VM that joins a running group names none, and gets them
// from the leader.
func (j *Log) Init(self quorum.Member, members []quorum.Member) error {
	return j.update(func(t *writeTx) error {
		if t.meta.Get(keySelf) != nil {
			return errors.Trace(ErrAlreadyInitialised)
		}
		if t.id > freshTxID+1 {
			return errors.Annotate(ErrCorrupt, "a used file without its own name")
		}
		if err := t.put(t.meta, bucketMeta, keySelf, self); err != nil {
			return errors.Trace(err)
		}
		if err := t.put(t.meta, bucketMeta, keyVote, quorum.Vote{}); err != nil {
			return errors.Trace(err)
		}
		if err := t.put(t.meta, bucketMeta, keyLast, quorum.Index(0)); err != nil {
			return errors.Trace(err)
		}
		return t.put(t.meta, bucketMeta, keySnapshot, quorum.Snapshot{Members: members})
	})
}

// Store writes and syncs one write.
func (j *Log) Store(w quorum.Write) error {
	return j.StoreAll([]quorum.Write{w})
}

// StoreAll writes and syncs several writes, in their order, at once: after a
// crash either all or none of them are there.
func (j *Log) StoreAll(writes []quorum.Write) error {
	if len(writes) == 0 {
		return nil
	}
	return j.update(func(t *writeTx) error {
		if t.meta.Get(keySelf) == nil {
			return errors.Trace(ErrNotInitialised)
		}
		if err := t.get(keyLast, &t.lastIndex); err != nil {
			return errors.Trace(err)
		}
		for _, w := range writes {
			if err := t.apply(w); err != nil {
				return errors.Trace(err)
			}
		}
		return t.put(t.meta, bucketMeta, keyLast, t.lastIndex)
	})
}

// update runs f in one transaction, which is synced before update returns.
func (j *Log) update(f func(*writeTx) error) error {
	t := &writeTx{}
	return recoverFaults(j.path, &t.location, func() error {
		return j.db.Update(func(tx *bbolt.Tx) error {
			if err := t.openBuckets(tx); err != nil {
				return errors.Trace(err)
			}
			return f(t)
		})
	})
}

// Close lets the folder go.
func (j *Log) Close() error {
	return errors.Annotatef(j.db.Close(), "write-ahead log %s", j.path)
}
