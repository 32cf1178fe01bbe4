package listener

import (
	"context"
	"errors"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/standin"
)

// scriptRun is one run of a script, with its upstream and callers.
type scriptRun struct {
	*driver
	primary *standin.Server
	mode    pgx.QueryExecMode
	callers map[string]*pgx.Conn
}

// TestScripts runs each script in testdata in the simple and in the extended
// protocol. It guards against answers, SQLSTATE codes and states of transactions
// that differ from those of a PostgreSQL server or depend on the protocol.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeSimpleProtocol, pgx.QueryExecModeCacheStatement} {
			t.Run(filepath.Base(f)+"/"+mode.String(), func(t *testing.T) { runScript(t, f, mode) })
		}
	}
}

func runScript(t *testing.T, file string, mode pgx.QueryExecMode) {
	text, err := os.ReadFile(file)
	if err != nil {
		t.Fatal(err)
	}
	w := &scriptRun{primary: startUpstream(t, standin.Options{}), mode: mode, callers: make(map[string]*pgx.Conn)}
	w.driver = newDriver(t, w.primary.Address, 3, nil)
	for n, line := range strings.Split(string(text), "\n") {
		instruction, special := strings.CutPrefix(line, "! ")
		name, rest, ok := strings.Cut(line, "> ")
		switch {
		case special:
			w.runInstruction(strings.Fields(instruction))
		case ok && !strings.HasPrefix(line, "#"):
			sql, want, _ := strings.Cut(rest, " => ")
			got := w.query(name, sql)
			if got != want && !(len(want) == 5 && strings.HasPrefix(got, want+" ")) {
				t.Fatalf("%s:%d: %s\ngot  %s\nwant %s", file, n+1, sql, got, want)
			}
		}
	}
}

func startUpstream(t *testing.T, o standin.Options) *standin.Server {
	t.Helper()
	o.ListenAddress, o.Service, o.Instance = "127.0.0.1:0", testService, "a"
	s, err := standin.Start(o)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

func (w *scriptRun) runInstruction(words []string) {
	switch words[0] {
	case "vanish":
		_ = w.callers[words[1]].PgConn().Conn().Close()
	case "stop":
		w.primary.Stop()
	case "dropped":
		eventually(w.t, "dropped", func() bool { return strconv.Itoa(len(inputsOf[node.TransactionAbandoned](w.driver))) == words[1] })
	case "lost":
		eventually(w.t, "lost", func() bool { return strconv.Itoa(len(inputsOf[node.ConnLost](w.driver))) == words[1] })
	case "verdict":
		w.setVerdict(words[1])
	case "floor":
		w.setFloor(words[1])
	case "outcome":
		done := inputsOf[node.RequestDone](w.driver)
		want := map[string]node.Outcome{"behind": node.OutcomeBehind, "completed": node.OutcomeCompleted}[words[1]]
		got := done[len(done)-1]
		if got.Outcome != want || !got.Reusable || want == node.OutcomeCompleted && got.Position.IsZero() {
			w.t.Fatalf("got %+v, want %s", got, words[1])
		}
	default:
		w.t.Fatalf("instruction %v", words)
	}
}

func (w *scriptRun) setVerdict(name string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	verdict, ok := map[string]node.Verdict{"not-run": node.VerdictNotRun, "unknown": node.VerdictUnknown}[name]
	w.editAnswer = nil
	if ok {
		w.editAnswer = func(e node.RequestDone, a *node.AnswerRequest) {
			if e.InTransaction {
				// The reducer gives no verdict within a transaction.
				return
			}
			a.Verdict, a.Reason, a.RetryAfter = verdict, "no lease", 120*time.Millisecond
		}
	}
}

func (w *scriptRun) setFloor(text string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	offset, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		w.t.Fatal(err)
	}
	w.editRun = func(e *node.RunRequest) {
		e.Verify, e.QueryPosition = true, true
		e.Floor = catalog.Position{Term: 1, Offset: catalog.Offset(offset)}
	}
}

// query runs a statement of a caller and returns the answer in the form that
// scripts use. The caller is connected if it is new.
func (w *scriptRun) query(name, sql string) string {
	c, ok := w.callers[name]
	if !ok {
		c = connect(w.t, w.driver, "")
		w.callers[name] = c
	}
	rows, err := c.Query(context.Background(), sql, w.mode)
	if err != nil {
		return errorText(err)
	}
	defer rows.Close()
	var out []string
	for rows.Next() {
		var cells []string
		for _, v := range rows.RawValues() {
			cells = append(cells, string(v))
		}
		out = append(out, strings.Join(cells, ","))
	}
	switch {
	case rows.Err() != nil:
		return errorText(rows.Err())
	case len(out) > 0:
		return strings.Join(out, ";")
	case rows.CommandTag().String() == "":
		return "empty"
	}
	return rows.CommandTag().String()
}

func errorText(err error) string {
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		return err.Error()
	}
	text := e.Code + " " + e.Message
	if e.Hint != "" {
		text += "; " + e.Hint
	}
	return text
}

// connect connects a caller. The connection parameters in more are added to its
// URL.
func connect(t *testing.T, d *driver, more string) *pgx.Conn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, callerURL(d)+more)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = c.PgConn().Conn().Close() })
	return c
}

func callerURL(d *driver) string {
	return "postgres://" + testUser + ":secret@" + d.server.Addr().String() + "/" + testService + "?sslmode=disable"
}
