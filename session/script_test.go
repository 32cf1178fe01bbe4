package session

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Each part of a script in testdata, up to an empty line, is one session of a
// caller. Its lines are carried out in order:
//
//	route POLICY            sets the route's reads: primary, bounded, own-writes
//	call ID VERB WORDS      sends a statement of the caller
//	up TEXT = CODE STATE    expects a command at the upstream and replies to it;
//	                        the code "silent" sends no reply, "lost" closes the
//	                        connection
//	verdict V               sets the reducer's next verdict, in place of done
//	answer CODE STATE       expects this answer to the caller
//	held yes|no             expects that a transaction holds the connection, or
//	                        that none does

const scriptConn catalog.ConnID = 7

// harness connects one caller to one upstream connection. It stands in for the
// entry's reducer and runs every request on that connection.
type harness struct {
	t        *testing.T
	location string
	server   *Server
	session  *session
	conn     *Conn
	answers  []Answer
	// mutex guards expected, which is also used while late replies are drained.
	mutex sync.Mutex
	// expected are the commands that the upstream has not received yet, with the
	// replies to them.
	expected         []expectedCommand
	replies          chan Reply
	closed           chan struct{}
	verdict          string
	holdsTransaction bool
	kind             node.RequestKind
}

type expectedCommand struct {
	text  string
	reply Reply
	mode  string
}

func newHarness(t *testing.T) *harness {
	g := &harness{t: t, replies: make(chan Reply, 16), closed: make(chan struct{})}
	pool := NewPool(PoolOptions{
		Feed: g.feed, Now: func() catalog.Instant { return 1 }, Dialect: testDialect(), Log: logr.Discard(),
	})
	g.server = NewServer(Options{Feed: g.feed, Now: func() catalog.Instant { return 1 }, Pool: pool, LogDecision: func(Decision) {}})
	g.conn = newConn(scriptConn, "a", Transport{Send: g.send, Receive: g.receive, Close: func() { close(g.closed) }}, func(wire.Evidence) {})
	pool.conns[scriptConn] = g.conn
	g.session = &session{server: g.server, database: "shop", values: map[string]string{}, statements: map[string]preparedStatement{}, caller: CallerConn{
		Answer: func(a Answer) error {
			g.answers = append(g.answers, a)
			return nil
		},
	}}
	g.setRoute(catalog.ReadsOwnWrites)
	return g
}

func (g *harness) setRoute(p catalog.ReadPolicy) {
	g.session.server.SetRoutes(node.RoutesChanged{Version: 1, TransactionIdle: time.Second, Routes: []catalog.Route{{
		RouteKey: catalog.RouteKey{Database: "shop"}, Service: "orders", Reads: p, Timeout: 50 * time.Millisecond, MaxAge: time.Second,
	}}})
}

// feed stands in for the reducer: it runs each request once and then answers it.
func (g *harness) feed(in node.Input) {
	switch v := in.(type) {
	case node.RequestArrived:
		g.kind = v.Kind
		run := node.RunRequest{Request: v.Request, Conn: scriptConn}
		if v.Kind == node.KindRead || v.Kind == node.KindBeginRead {
			run.After = v.Floor
		}
		g.server.Deliver(v.Request, run)
	case node.RequestDone:
		g.holdsTransaction = v.InTransaction
		g.server.Deliver(v.Request, g.answer(v))
	case node.TransactionAbandoned:
		g.holdsTransaction = false
	}
}

func (g *harness) answer(v node.RequestDone) node.AnswerRequest {
	a := node.AnswerRequest{Request: v.Request}
	if g.kind == node.KindWrite || g.kind == node.KindInTransaction {
		a.Floor = v.Position
	}
	switch {
	case g.verdict == "not-run", g.verdict == "elsewhere":
		a.Verdict, a.RetryElsewhere = node.VerdictNotRun, g.verdict == "elsewhere"
	case g.verdict == "unknown" || v.Outcome == node.OutcomeLost || v.Outcome == node.OutcomeFailed:
		a.Verdict = node.VerdictUnknown
	case v.Outcome != node.OutcomeCompleted:
		a.Verdict = node.VerdictNotRun
	}
	g.verdict = ""
	return a
}

func (g *harness) send(commands []Command) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, c := range commands {
		id := c.ID
		if id == "" {
			id = "-"
		}
		if len(g.expected) == 0 {
			g.t.Fatalf("%s: the upstream got %q, nothing was expected", g.location, id+" "+c.Text)
		}
		x := g.expected[0]
		g.expected = g.expected[1:]
		if x.text != id+" "+c.Text {
			g.t.Fatalf("%s: the upstream got %q, expected %q", g.location, id+" "+c.Text, x.text)
		}
		switch x.mode {
		case "silent":
		case "lost":
			close(g.replies)
		default:
			g.replies <- x.reply
		}
	}
	return nil
}

func (g *harness) receive() (Reply, error) {
	select {
	case r, ok := <-g.replies:
		if !ok {
			return r, errors.New("the upstream closed the connection")
		}
		return r, nil
	case <-g.closed:
		return Reply{}, errors.New("closed")
	}
}

func testDialect() Dialect {
	return Dialect{
		Begin: func(readOnly bool) string {
			if readOnly {
				return "begin read"
			}
			return "begin"
		},
		Rollback: func() string { return "rollback" },
		Reset:    func() string { return "reset" },
		Set:      func(name, value string) string { return "set " + name + " " + value },
		Prepare: func(name string, writes bool, template string) string {
			return fmt.Sprintf("prepare %s %t %s", name, writes, template)
		},
		Execute: func(name, arguments string) string { return "execute " + name + " " + arguments },
		RequirePosition: func(p catalog.Position, text string) string {
			return fmt.Sprintf("after %d.%d %s", p.Term, p.Offset, text)
		},
		StatusQuery: func() string { return "status" },
	}
}

var scriptCodes = map[string]Code{
	"ok": CodeNone, "busy": CodeBusy, "aborted": CodeAborted, "in-doubt": CodeInDoubt, "timeout": CodeTimeout,
	"failed": CodeFailed, "malformed": CodeMalformed, "no-database": CodeNoDatabase, "behind": CodeBehind,
	"read-only": CodeReadOnly, "no-statement": CodeNoStatement,
}

var scriptStates = map[string]State{"idle": StateIdle, "open": StateTransaction, "failed": StateFailed}

func scriptVerb(name string) Verb {
	for n, text := range verbNames {
		if text == name {
			return Verb(n)
		}
	}
	panic("unknown verb " + name)
}

func (g *harness) callerSends(words []string) {
	st := Statement{ID: words[0], Verb: scriptVerb(words[1]), Text: strings.Join(words[1:], " ")}
	rest := words[2:]
	switch st.Verb {
	case VerbSet, VerbExecute:
		st.Name, st.Value = rest[0], strings.Join(rest[1:], " ")
	case VerbPrepare:
		st.Name, st.MayWrite, st.Value = rest[0], rest[1] == "write", rest[2]
	case VerbDeallocate:
		st.Name = rest[0]
	}
	g.answers = nil
	if err := g.session.handle(st); err != nil {
		g.t.Fatalf("%s: %v", g.location, err)
	}
	if g.remaining() > 0 {
		g.t.Fatalf("%s: the upstream did not get %q", g.location, g.expected[0].text)
	}
}

func (g *harness) expect(text string) {
	command, answer, _ := strings.Cut(text, " = ")
	words := strings.Fields(answer)
	x := expectedCommand{text: command, mode: words[0]}
	if len(words) > 1 {
		code, ok := scriptCodes[words[0]]
		if !ok {
			g.t.Fatalf("%s: unknown code %q", g.location, words[0])
		}
		x.reply = Reply{Code: code, State: scriptStates[words[1]], Position: catalog.Position{Term: 1, Offset: 5}, Body: []byte("body")}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.expected = append(g.expected, x)
}

// remaining returns the number of expected commands that the upstream has not got
// yet.
func (g *harness) remaining() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.expected)
}

func (g *harness) checkAnswer(words []string) {
	if len(g.answers) != 1 {
		g.t.Fatalf("%s: the caller got %d answers", g.location, len(g.answers))
	}
	a := g.answers[0]
	if a.Code != scriptCodes[words[0]] || a.State != scriptStates[words[1]] {
		g.t.Fatalf("%s: the caller got code %d, state %d, expected %v", g.location, a.Code, a.State, words)
	}
}

func (g *harness) runLine(line string) {
	words := strings.Fields(line)
	switch words[0] {
	case "route":
		g.setRoute(catalog.ReadPolicy(words[1]))
	case "call":
		g.callerSends(words[1:])
	case "up":
		g.expect(strings.TrimPrefix(line, "up "))
	case "verdict":
		g.verdict = words[1]
	case "answer":
		g.checkAnswer(words[1:])
	case "held":
		if g.holdsTransaction != (words[1] == "yes") {
			g.t.Fatalf("%s: held is %t", g.location, g.holdsTransaction)
		}
	default:
		g.t.Fatalf("%s: unknown line", g.location)
	}
}

// TestScripts runs the scripts in testdata. An "up" line stands before the call
// that causes the command. The scripts guard against commands and answers that
// differ from the expected ones, and against transactions that keep or lose their
// connection wrongly.
func TestScripts(t *testing.T) { runScripts(t, newHarness) }

// TestForwardedScripts runs the scripts in testdata with a second entry, which
// forwards the caller's requests to the entry that runs them. It guards against
// answers and commands at the upstream that differ from those without forwarding.
func TestForwardedScripts(t *testing.T) { runScripts(t, newForwardingHarness) }

func runScripts(t *testing.T, makeHarness func(*testing.T) *harness) {
	t.Helper()
	files, err := filepath.Glob("testdata/*.txt")
	if err != nil || len(files) == 0 {
		t.Fatal("no scripts", err)
	}
	for _, f := range files {
		data, err := os.ReadFile(f)
		if err != nil {
			t.Fatal(err)
		}
		for _, part := range strings.Split(string(data), "\n\n") {
			name, _, _ := strings.Cut(strings.TrimPrefix(strings.TrimSpace(part), "# "), "\n")
			t.Run(filepath.Base(f)+"/"+name, func(t *testing.T) {
				g := makeHarness(t)
				for n, line := range strings.Split(part, "\n") {
					if line == "" || strings.HasPrefix(line, "#") {
						continue
					}
					g.location = fmt.Sprintf("%s, %s, line %d (%s)", f, name, n+1, line)
					g.runLine(line)
				}
			})
		}
	}
}
