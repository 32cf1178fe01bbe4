// Package wal stores a control VM's copy of the replicated log in its data
// folder. Each call that writes does so in one synced transaction.
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
	// fillPercent packs pages tightly, since records are appended in order.
	fillPercent = 0.9
	// freshTxID is the transaction id of a file that was never written to.
	freshTxID = 1
)

// ErrAlreadyInitialised says that Init was called for a folder that already
// holds a log.
const ErrAlreadyInitialised = errors.ConstError("log is already initialised")

// ErrNotInitialised says that the folder holds no log yet. Init creates one.
const ErrNotInitialised = errors.ConstError("log is not initialised")

// ErrCorrupt says that the file's content differs from what was stored.
const ErrCorrupt = errors.ConstError("log is corrupt")

// Log is an open data folder. Only one process can open it at a time.
type Log struct {
	db   *bbolt.DB
	path string
}

// Open opens the log of a data folder. It creates the folder and the file if
// they don't exist. It returns ErrCorrupt for a corrupt file, and another error
// if a process still holds the file's lock after lockTimeout.
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

// syncFolder syncs the folder, so that the new file's name survives a crash.
func syncFolder(folder string) error {
	f, err := os.Open(folder)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	return errors.Trace(f.Sync())
}

// Init stores a member's initial state in a fresh folder. The members are those
// that the group starts with. A VM that joins a running group passes none and
// receives them from the leader.
func (j *Log) Init(self quorum.Member, members []quorum.Member) error {
	return j.update(func(t *writeTx) error {
		if t.meta.Get(keySelf) != nil {
			return errors.Trace(ErrAlreadyInitialised)
		}
		if t.id > freshTxID+1 {
			return errors.Annotate(ErrCorrupt, "the file was written to but names no member")
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

// StoreAll writes and syncs several writes, in order, in one transaction: after
// a crash either all or none of them are stored.
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

// update runs f in one transaction and returns once the transaction is synced.
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

// Close closes the file and releases its lock.
func (j *Log) Close() error {
	return errors.Annotatef(j.db.Close(), "write-ahead log %s", j.path)
}
