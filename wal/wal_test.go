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

// filled returns a folder with a closed log, and what it holds.
func filled(t *testing.T) (string, quorum.PersistentState) {
	t.Helper()
	folder := filepath.Join(t.TempDir(), "data")
	j := open(t, folder)
	must(t, j.Init(members[0], members))
	must(t, j.Store(quorum.Write{Vote: &quorum.Vote{Ballot: 1, Candidate: "a"}}))
	must(t, j.StoreAll([]quorum.Write{
		{Append: []quorum.Record{record(1, 1, "one"), record(2, 1, "two"), record(3, 1, "three")}},
		{Vote: &quorum.Vote{Ballot: 2}, Truncate: 3, Append: []quorum.Record{record(3, 2, "third"), record(4, 2, "fourth")}},
	}))
	snapshot := quorum.Snapshot{Index: 2, Ballot: 1, Members: members, Data: []byte("state")}
	must(t, j.Store(quorum.Write{Snapshot: &snapshot}))
	must(t, j.Close())
	return folder, quorum.PersistentState{
		Self: members[0], Vote: quorum.Vote{Ballot: 2}, Snapshot: snapshot,
		Records: []quorum.Record{record(3, 2, "third"), record(4, 2, "fourth")},
	}
}

// read opens and loads a folder.
func read(folder string) (quorum.PersistentState, error) {
	j, err := Open(folder)
	if err != nil {
		return quorum.PersistentState{}, err
	}
	s, found, err := j.Load()
	if err == nil && !found {
		err = errFresh
	}
	if closed := j.Close(); err == nil {
		err = closed
	}
	return s, err
}

func TestRoundTrip(t *testing.T) {
	folder, want := filled(t)
	got, err := read(folder)
	must(t, err)
	if !reflect.DeepEqual(got, want) {
		t.Fatalf("got %+v, want %+v", got, want)
	}
	j := open(t, folder)
	defer j.Close()
	if err := j.Init(members[1], nil); !errors.Is(err, ErrInitialised) {
		t.Errorf("second start: %v", err)
	}
	if err := j.Store(quorum.Write{Append: []quorum.Record{record(6, 2, "")}}); err == nil {
		t.Error("took a record behind a gap")
	}
	far := quorum.Snapshot{Index: 9, Ballot: 3, Members: members}
	must(t, j.Store(quorum.Write{Truncate: 3, Snapshot: &far}))
	must(t, j.Store(quorum.Write{Append: []quorum.Record{record(10, 3, "ten")}}))
	got, _, err = j.Load()
	if err != nil || got.Snapshot.Index != 9 || len(got.Records) != 1 {
		t.Errorf("after a far snapshot: %+v, %v", got, err)
	}
}

func TestFresh(t *testing.T) {
	j := open(t, t.TempDir())
	defer j.Close()
	if _, found, err := j.Load(); found || err != nil {
		t.Fatalf("found %v, %v", found, err)
	}
	if err := j.Store(quorum.Write{Vote: &quorum.Vote{Ballot: 1}}); !errors.Is(err, ErrNotInitialised) {
		t.Fatalf("stored before the start: %v", err)
	}
}

func TestAlteredRecord(t *testing.T) {
	folder, _ := filled(t)
	path := filepath.Join(folder, fileName)
	content, err := os.ReadFile(path)
	must(t, err)
	content = bytes.ReplaceAll(content, []byte("fourth"), []byte("fourty"))
	must(t, os.WriteFile(path, content, fileMode))
	_, err = read(folder)
	if !errors.Is(err, ErrDamaged) {
		t.Fatalf("altered record: %v", err)
	}
	for _, part := range []string{path, "bucket records", "key 4"} {
		if !strings.Contains(err.Error(), part) {
			t.Errorf("%q does not name %q", err, part)
		}
	}
}

func TestLostRecord(t *testing.T) {
	folder, _ := filled(t)
	j := open(t, folder)
	must(t, j.update(func(tg *target) error { return tg.drop(4, 4) }))
	must(t, j.Close())
	if _, err := read(folder); !errors.Is(err, ErrDamaged) || !strings.Contains(err.Error(), "key 4") {
		t.Fatalf("lost record: %v", err)
	}
}

// TestDamage cuts the file at many places, and alters many single bytes: what
// is read is right or refused.
func TestDamage(t *testing.T) {
	const stride = 17
	folder, want := filled(t)
	path := filepath.Join(folder, fileName)
	content, err := os.ReadFile(path)
	must(t, err)
	refused := 0
	try := func(what string, at int, damaged []byte) {
		// A new file, since a failed trial may still hold the lock of its own.
		must(t, os.Remove(path))
		must(t, os.WriteFile(path, damaged, fileMode))
		got, err := read(folder)
		if err == nil && !reflect.DeepEqual(got, want) {
			t.Errorf("%s at %d went unnoticed: %+v", what, at, got)
		}
		if errors.Is(err, errFresh) && at > 0 {
			t.Errorf("%s at %d passes for a fresh folder", what, at)
		}
		if err != nil {
			refused++
		}
	}
	for at := 1; at < len(content); at += stride {
		damaged := bytes.Clone(content)
		damaged[at] ^= 0x11
		try("alteration", at, damaged)
	}
	for at := 0; at < len(content); at += 16 * stride {
		try("cut", at, content[:at])
	}
	if refused == 0 {
		t.Error("nothing was refused")
	}
	t.Logf("%d bytes, %d trials refused", len(content), refused)
}
