package commands

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"os"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/testscript"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// fake answers as a VM would, with the lines of a file, one each time and the
// last one for ever: "STATUS BODY", "lost" (the command is read and the
// connection closed) or "retry SECONDS". What it was sent goes to another file.
type fake struct {
	mutex    sync.Mutex
	answers  string
	requests string
	count    int
}

func (f *fake) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	body, _ := io.ReadAll(q.Body)
	seen, _ := os.ReadFile(f.requests)
	_ = os.WriteFile(f.requests, append(seen, []byte(q.URL.Path+" "+string(body)+"\n")...), 0o600)
	text, err := os.ReadFile(f.answers)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	lines := strings.Split(strings.TrimSpace(string(text)), "\n")
	word, rest, _ := strings.Cut(lines[min(f.count, len(lines)-1)], " ")
	f.count++
	switch word {
	case "lost":
		panic(http.ErrAbortHandler)
	case "retry":
		w.Header().Set("Retry-After", rest)
		w.WriteHeader(http.StatusServiceUnavailable)
	default:
		status, _ := strconv.Atoi(word)
		w.WriteHeader(status)
		_, _ = io.WriteString(w, rest)
	}
}

// rounds is how many pauses a test client waits before its time is over.
const rounds = 3

// kingcupknot runs a command line in this process: kingcupknot EXIT ARGS...
func kingcupknot(ts *testscript.TestScript, _ bool, args []string) {
	d := &Desk{
		Stdout: ts.Stdout(), Stderr: ts.Stderr(), Getenv: ts.Getenv,
		NewChangeID: func() catalog.ChangeID { return "drawn" },
	}
	paths := make([]string, 0, len(args))
	for _, a := range args[1:] {
		if strings.HasSuffix(a, ".toml") {
			a = ts.MkAbs(a)
		}
		paths = append(paths, a)
	}
	d.clientMade = func(c *Client) {
		left := rounds
		c.Sleep = func(_ context.Context, pause time.Duration) bool {
			name := ts.MkAbs("pauses")
			seen, _ := os.ReadFile(name)
			ts.Check(os.WriteFile(name, append(seen, []byte(pause.String()+"\n")...), 0o600))
			left--
			return left >= 0
		}
	}
	if got := d.Run(paths); strconv.Itoa(int(got)) != args[0] {
		ts.Fatalf("exit code %d, want %s", got, args[0])
	}
}

// TestCommands runs the scripts of testdata. The file "pauses" gets a line for
// each pause between two rounds, which is not waited for in truth. The environment has the addresses
// of two fakes, A and B, and of a VM that is GONE.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"kingcupknot": kingcupknot},
		Setup: func(e *testscript.Env) error {
			for _, name := range []string{"A", "B"} {
				file := e.WorkDir + "/" + strings.ToLower(name)
				s := httptest.NewServer(&fake{answers: file, requests: file + ".requests"})
				e.Defer(s.Close)
				e.Setenv(name, s.Listener.Addr().String())
			}
			gone := httptest.NewServer(nil)
			e.Setenv("GONE", gone.Listener.Addr().String())
			gone.Close()
			return nil
		},
	})
}
