package main

import (
	"testing"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/node"
)

// exitOK is the exit code of a command that succeeds.
const exitOK = 0

// exitCodeOf returns the exit code of a command that returns err.
func exitCodeOf(err error) int {
	if err == nil {
		return exitOK
	}
	return exitCode(err)
}

// TestCheckReport guards against a verdict that misses a kind of violation, or
// that passes a report which is missing or has no acknowledged operations.
func TestCheckReport(t *testing.T) {
	for report, want := range map[string]int{
		"table\n" + `{"acknowledged":3}`:                          exitOK,
		`{"acknowledged":3,"unknown":1,"refused":1}`:              exitOK,
		`{"acknowledged":3,"lost":1}`:                             exitViolated,
		`{"acknowledged":3,"doubled":1}`:                          exitViolated,
		`{"acknowledged":3,"stale":1}`:                            exitViolated,
		`{"acknowledged":3,"too-old":1}`:                          exitViolated,
		`{"acknowledged":3,"invented":1}`:                         exitViolated,
		`{"acknowledged":3,"refused-but-present":1}`:              exitViolated,
		`{"acknowledged":3,"sum-wrong":true}`:                     exitViolated,
		`{"acknowledged":0,"refused":9}`:                          exitUsage,
		"":                                                        exitUsage,
		"load: read back booking of orders: connection refused\n": exitUsage,
	} {
		if got := exitCodeOf(checkReport(report)); got != want {
			t.Errorf("%q: exit code %d, not %d", report, got, want)
		}
	}
}

// TestCheckOnce guards against a check of the history that misses a lost
// change, a change applied twice, or a version assigned to two changes.
func TestCheckOnce(t *testing.T) {
	one, two := node.Change{Version: 1, Change: "a"}, node.Change{Version: 2, Change: "b"}
	again, reused := node.Change{Version: 3, Change: "a"}, node.Change{Version: 2, Change: "c"}
	for name, x := range map[string]struct {
		history []node.Change
		want    int
	}{
		"each once":     {[]node.Change{two, one}, exitOK},
		"one missing":   {[]node.Change{two}, exitViolated},
		"one twice":     {[]node.Change{again, two, one}, exitViolated},
		"version twice": {[]node.Change{reused, two, one}, exitViolated},
	} {
		if got := exitCodeOf(checkOnce(x.history, []string{"a", "b"})); got != x.want {
			t.Errorf("%s: exit code %d, not %d", name, got, x.want)
		}
	}
}

// TestCheckIncrements guards against a check that misses a lost increment or
// one that was executed twice.
func TestCheckIncrements(t *testing.T) {
	r := resender{row: "r", confirmed: 5, unknown: 2}
	for n, want := range map[int64]int{4: exitViolated, 5: exitOK, 7: exitOK, 8: exitViolated} {
		if got := exitCodeOf(r.checkCount(n)); got != want {
			t.Errorf("a row at %d: exit code %d, not %d", n, got, want)
		}
	}
}

// TestIsNotRun guards against treating an error with an unknown outcome as a
// guarantee that the statement was not executed.
func TestIsNotRun(t *testing.T) {
	for err, want := range map[error]bool{
		errNotSent: true,
		&pgconn.PgError{Code: codeNotRun, Message: "not run: no primary"}:    true,
		&pgconn.PgError{Code: codeNotRun, Message: "the system is starting"}: false,
		&pgconn.PgError{Code: "08007", Message: "outcome unknown"}:           false,
		errors.New("unexpected EOF"):                                         false,
	} {
		if got := isNotRun(err); got != want {
			t.Errorf("%v: %t", err, got)
		}
	}
}
