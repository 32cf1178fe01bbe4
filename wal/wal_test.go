package wal

import (
	"bytes"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/quorum"
)

var members = []quorum.Member{{VM: "a", Incarnation: 7, Voter: true}, {VM: "b", Incarnation: 8, Voter: true}}

const errFresh = errors.ConstError("fresh")

func must(t *testing.T, err error) {
	t.Helper()
	if err != nil {
		t.Fatal(err)
	}
}

func open(t *testing.T, folder string) *Log {
	t.Helper()
	j, err := Open(folder)
	must(t, err)
	return j
}

func record(i quorum.Index, b quorum.Ballot, data string) quorum.Record {
	return quorum.Record{Index: i, Ballot: b, Data: []byte(data)}
}

// newFilledLog returns a folder with a closed log, and the state that it holds.
func newFilledLog(t *testing.T) (string, quorum.PersistentState) {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	j := open(t, folder)
	must(t, j.Init(members[0], members))
	must(t, j.Store(quorum.Write{Vote: &quorum.Vote{Ballot: 1, Candidate: "a"}}))
	must(t, j.StoreAll([]quorum.Write{
		{Append: []quorum.Record{record(1, 1, "one"), record(2, 1, "two"), record(3, 1, "three")}},
		{Vote: &quorum.Vote{Ballot: 2}, TruncateFrom: 3, Append: []quorum.Record{record(3, 2, "third"), record(4, 2, "fourth")}},
	}))
	snapshot := quorum.Snapshot{Index: 2, Ballot: 1, Members: members, Data: []byte("state")}
	must(t, j.Store(quorum.Write{Snapshot: &snapshot}))
	must(t, j.Close())
	return folder, quorum.PersistentState{
		Self: members[0], Vote: quorum.Vote{Ballot: 2}, Snapshot: snapshot,
		Records: []quorum.Record{record(3, 2, "third"), record(4, 2, "fourth")},
	}
}

// openAndLoad opens a folder and loads its state.
func openAndLoad(folder string) (quorum.PersistentState, error) {
	j, err := Open(folder)
	if err != nil {
		return quorum.PersistentState{}, err
	}
	s, found, err := j.Load()
	if err == nil && !found {
		err = errFresh
	}
	if closeErr := j.Close(); err == nil {
		err = closeErr
	}
	return s, err
}

// TestRoundTrip guards against stored state that is read back differently,
// against a second Init, and against records that leave a gap in the log.
func TestRoundTrip(t *testing.T) {
	folder, want := newFilledLog(t)
	got, err := openAndLoad(folder)
	must(t, err)
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	j := open(t, folder)
	defer j.Close()
	if err := j.Init(members[1], nil); !errors.Is(err, ErrAlreadyInitialised) {
		t.Errorf("second Init: %v", err)
	}
	if err := j.Store(quorum.Write{Append: []quorum.Record{record(6, 2, "")}}); err == nil {
		t.Error("stored a record after a gap")
	}
	laterSnapshot := quorum.Snapshot{Index: 9, Ballot: 3, Members: members}
	must(t, j.Store(quorum.Write{TruncateFrom: 3, Snapshot: &laterSnapshot}))
	must(t, j.Store(quorum.Write{Append: []quorum.Record{record(10, 3, "ten")}}))
	got, _, err = j.Load()
	if err != nil || got.Snapshot.Index != 9 || len(got.Records) != 1 {
		t.Errorf("after a snapshot past the end of the log: %+v, %v", got, err)
	}
}

// TestFreshFolder guards against writes to a log before Init.
func TestFreshFolder(t *testing.T) {
	j := open(t, t.TempDir())
	defer j.Close()
	if _, found, err := j.Load(); found || err != nil {
		t.Fatalf("found %v, %v", found, err)
	}
	if err := j.Store(quorum.Write{Vote: &quorum.Vote{Ballot: 1}}); !errors.Is(err, ErrNotInitialised) {
		t.Fatalf("stored before Init: %v", err)
	}
}

// TestAlteredRecord guards against an altered record that is accepted, and
// against an error that does not say where the record is.
func TestAlteredRecord(t *testing.T) {
	folder, _ := newFilledLog(t)
	path := filepath.Join(folder, fileName)
	content, err := os.ReadFile(path)
	must(t, err)
	content = bytes.ReplaceAll(content, []byte("fourth"), []byte("fourty"))
	must(t, os.WriteFile(path, content, fileMode))
	_, err = openAndLoad(folder)
	if !errors.Is(err, ErrCorrupt) {
		t.Fatalf("altered record: %v", err)
	}
	for _, part := range []string{path, "bucket records", "key 4"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("error %q does not contain %q", err, part)
		}
	}
}

// TestLostRecord guards against a missing last record that goes unnoticed.
func TestLostRecord(t *testing.T) {
	folder, _ := newFilledLog(t)
	j := open(t, folder)
	must(t, j.update(func(tx *writeTx) error { return tx.deleteRecords(4, 4) }))
	must(t, j.Close())
	if _, err := openAndLoad(folder); !errors.Is(err, ErrCorrupt) || !strings.Contains(err.Error(), "key 4") {
		t.Fatalf("lost record: %v", err)
	}
}

// TestCorruption guards against corruption that goes unnoticed. It truncates
// the file at many places and alters many single bytes; each time the state
// must be read unchanged or rejected.
func TestCorruption(t *testing.T) {
	const stride = 17
	folder, want := newFilledLog(t)
	path := filepath.Join(folder, fileName)
	content, err := os.ReadFile(path)
	must(t, err)
	rejected := 0
	tryCorrupt := func(what string, at int, corrupted []byte) {
		// The file is replaced, since an earlier trial that failed may still
		// hold the lock of its file.
		must(t, os.Remove(path))
		must(t, os.WriteFile(path, corrupted, fileMode))
		got, err := openAndLoad(folder)
		if err == nil && !reflect.DeepEqual(got, want) {
			t.Errorf("%s at %d went unnoticed: %+v", what, at, got)
		}
		if errors.Is(err, errFresh) && at > 0 {
			t.Errorf("%s at %d is taken for a fresh folder", what, at)
		}
		if err != nil {
			rejected++
		}
	}
	for at := 1; at < len(content); at += stride {
		corrupted := bytes.Clone(content)
		corrupted[at] ^= 0x11
		tryCorrupt("alteration", at, corrupted)
	}
	for at := 0; at < len(content); at += 16 * stride {
		tryCorrupt("truncation", at, content[:at])
	}
	if rejected == 0 {
		t.Error("no corruption was rejected")
	}
	t.Logf("%d bytes, %d trials rejected", len(content), rejected)
}
