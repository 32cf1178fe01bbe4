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

// The scripts in testdata hold one conversation each. Their lines, in order:
//
//	route POLICY            the route's reads: primary, bounded, own-writes
//	call ID VERB WORDS      the caller sends a statement
//	up TEXT = CODE STATE    the upstream gets a command and answers so; the
//	                        code "silent" answers nothing, "lost" hangs up
//	verdict V               the entry gives this verdict in place of done
//	answer CODE STATE       the caller gets this
//	held yes|no             a transaction holds the connection, or none does

const scriptConn catalog.ConnID = 7

// rig is one caller, one upstream connection and an entry that lets every
// request run on it.
type rig struct {
	t       *testing.T
	place   string
	server  *Server
	session *session
	conn    *Conn
	answers []Answer
	// mutex guards expected, which a late reply's settling uses too.
	mutex sync.Mutex
	// expected are the commands to come, with their replies.
	expected []exchanged
	replies  chan Reply
	closed   chan struct{}
	verdict  string
	held     bool
	kind     node.RequestKind
}

type exchanged struct {
	text  string
	reply Reply
	how   string
}

func newRig(t *testing.T) *rig {
	g := &rig{t: t, replies: make(chan Reply, 16), closed: make(chan struct{})}
	pool := NewPool(PoolOptions{
		Feed: g.feed, Now: func() catalog.Instant { return 1 }, Dialect: testDialect(), Log: logr.Discard(),
	})
	g.server = NewServer(Options{Feed: g.feed, Now: func() catalog.Instant { return 1 }, Pool: pool, Decided: func(Decision) {}})
	g.conn = newConn(scriptConn, "a", Wire{Send: g.send, Receive: g.receive, Close: func() { close(g.closed) }}, func(wire.Evidence) {})
	pool.conns[scriptConn] = g.conn
	g.session = &session{server: g.server, database: "shop", values: map[string]string{}, names: map[string]prepared{}, link: Link{
		Answer: func(a Answer) error {
			g.answers = append(g.answers, a)
			return nil
		},
	}}
	g.setRoute(catalog.ReadsOwnWrites)
	return g
}

func (g *rig) setRoute(p catalog.ReadPolicy) {
	g.session.server.SetRoutes(node.RoutesChanged{Version: 1, TransactionIdle: time.Second, Routes: []catalog.Route{{
		RouteKey: catalog.RouteKey{Database: "shop"}, Service: "orders", Reads: p, Timeout: 50 * time.Millisecond, MaxAge: time.Second,
	}}})
}

// feed is the entry: it runs each request once and gives the verdict.
func (g *rig) feed(in node.Input) {
	switch v := in.(type) {
	case node.RequestArrived:
		g.kind = v.Kind
		run := node.RunRequest{Request: v.Request, Conn: scriptConn}
		if v.Kind == node.KindRead || v.Kind == node.KindBeginRead {
			run.After = v.Floor
		}
		g.server.Deliver(v.Request, run)
	case node.RequestDone:
		g.held = v.InTransaction
		g.server.Deliver(v.Request, g.answer(v))
	case node.TransactionAbandoned:
		g.held = false
	}
}

func (g *rig) answer(v node.RequestDone) node.AnswerRequest {
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

func (g *rig) send(commands []Command) error {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	for _, c := range commands {
		id := c.ID
		if id == "" {
			id = "-"
		}
		if len(g.expected) == 0 {
			g.t.Fatalf("%s: the upstream got %q, nothing was expected", g.place, id+" "+c.Text)
		}
		x := g.expected[0]
		g.expected = g.expected[1:]
		if x.text != id+" "+c.Text {
			g.t.Fatalf("%s: the upstream got %q, expected %q", g.place, id+" "+c.Text, x.text)
		}
		switch x.how {
		case "silent":
		case "lost":
			close(g.replies)
		default:
			g.replies <- x.reply
		}
	}
	return nil
}

func (g *rig) receive() (Reply, error) {
	select {
	case r, ok := <-g.replies:
		if !ok {
			return r, errors.New("the upstream hung up")
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
		Prepare: func(name string, writes bool, shape string) string {
			return fmt.Sprintf("prepare %s %t %s", name, writes, shape)
		},
		Execute: func(name, arguments string) string { return "execute " + name + " " + arguments },
		RequirePosition: func(p catalog.Position, text string) string {
			return fmt.Sprintf("after %d.%d %s", p.Term, p.Offset, text)
		},
		Status: func() string { return "status" },
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

func (g *rig) call(words []string) {
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
		g.t.Fatalf("%s: %v", g.place, err)
	}
	if g.left() > 0 {
		g.t.Fatalf("%s: the upstream did not get %q", g.place, g.expected[0].text)
	}
}

func (g *rig) expect(text string) {
	command, answer, _ := strings.Cut(text, " = ")
	words := strings.Fields(answer)
	x := exchanged{text: command, how: words[0]}
	if len(words) > 1 {
		code, ok := scriptCodes[words[0]]
		if !ok {
			g.t.Fatalf("%s: unknown code %q", g.place, words[0])
		}
		x.reply = Reply{Code: code, State: scriptStates[words[1]], Position: catalog.Position{Term: 1, Offset: 5}, Body: []byte("body")}
	}
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.expected = append(g.expected, x)
}

// left counts the commands that the upstream has not got yet.
func (g *rig) left() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.expected)
}

func (g *rig) check(words []string) {
	if len(g.answers) != 1 {
		g.t.Fatalf("%s: the caller got %d answers", g.place, len(g.answers))
	}
	a := g.answers[0]
	if a.Code != scriptCodes[words[0]] || a.State != scriptStates[words[1]] {
		g.t.Fatalf("%s: the caller got code %d, state %d, expected %v", g.place, a.Code, a.State, words)
	}
}

func (g *rig) line(line string) {
	words := strings.Fields(line)
	switch words[0] {
	case "route":
		g.setRoute(catalog.ReadPolicy(words[1]))
	case "call":
		g.call(words[1:])
	case "up":
		g.expect(strings.TrimPrefix(line, "up "))
	case "verdict":
		g.verdict = words[1]
	case "answer":
		g.check(words[1:])
	case "held":
		if g.held != (words[1] == "yes") {
			g.t.Fatalf("%s: held is %t", g.place, g.held)
		}
	default:
		g.t.Fatalf("%s: unknown line", g.place)
	}
}

// TestScripts plays the conversations. What an "up" line expects stands before
// the call that leads to it.
func TestScripts(t *testing.T) { playScripts(t, newRig) }

// TestForwardedScripts plays the same conversations with an entry between the
// caller and the one that runs the statements: the caller and the upstream must
// not notice.
func TestForwardedScripts(t *testing.T) { playScripts(t, newForwardingRig) }

func playScripts(t *testing.T, newRig func(*testing.T) *rig) {
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
				g := newRig(t)
				for n, line := range strings.Split(part, "\n") {
					if line == "" || strings.HasPrefix(line, "#") {
						continue
					}
					g.place = fmt.Sprintf("%s, %s, line %d (%s)", f, name, n+1, line)
					g.line(line)
				}
			})
		}
	}
}
