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

// fakeVM is an HTTP handler in place of a VM. It answers each request with the
// next line of the file answers and repeats the last line. A line is "STATUS
// BODY", "lost" (it reads the command and closes the connection) or "retry
// SECONDS" (503 with Retry-After). It appends the requests to the file requests.
type fakeVM struct {
	mutex        sync.Mutex
	answersFile  string
	requestsFile string
	count        int
}

func (f *fakeVM) ServeHTTP(w http.ResponseWriter, q *http.Request) {
	f.mutex.Lock()
	defer f.mutex.Unlock()
	body, _ := io.ReadAll(q.Body)
	earlier, _ := os.ReadFile(f.requestsFile)
	_ = os.WriteFile(f.requestsFile, append(earlier, []byte(q.URL.Path+" "+string(body)+"\n")...), 0o600)
	text, err := os.ReadFile(f.answersFile)
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

// maxPauses is the number of pauses after which a test client's timeout expires.
const maxPauses = 3

// kingcupknot is the script command "kingcupknot EXIT ARGS...". It runs a
// command line in this process and checks the exit code.
func kingcupknot(ts *testscript.TestScript, _ bool, args []string) {
	cli := &CLI{
		Stdout: ts.Stdout(), Stderr: ts.Stderr(), Getenv: ts.Getenv,
		NewChangeID: func() catalog.ChangeID { return "drawn" },
	}
	commandLine := make([]string, 0, len(args))
	for _, a := range args[1:] {
		if strings.HasSuffix(a, ".toml") {
			a = ts.MkAbs(a)
		}
		commandLine = append(commandLine, a)
	}
	cli.onNewClient = func(c *Client) {
		left := maxPauses
		c.Sleep = func(_ context.Context, pause time.Duration) bool {
			name := ts.MkAbs("pauses")
			earlier, _ := os.ReadFile(name)
			ts.Check(os.WriteFile(name, append(earlier, []byte(pause.String()+"\n")...), 0o600))
			left--
			return left >= 0
		}
	}
	if got := cli.Run(commandLine); strconv.Itoa(int(got)) != args[0] {
		ts.Fatalf("exit code %d, want %s", got, args[0])
	}
}

// TestCommands runs the scripts of testdata. They check the output, exit codes
// and requests of each command, and the retries after lost answers. Pauses
// between two rounds are appended to the file "pauses" without waiting. The
// environment variables A and B are the addresses of two fake VMs, and GONE is
// an address that refuses connections.
func TestCommands(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir:  "testdata",
		Cmds: map[string]func(*testscript.TestScript, bool, []string){"kingcupknot": kingcupknot},
		Setup: func(e *testscript.Env) error {
			for _, name := range []string{"A", "B"} {
				file := e.WorkDir + "/" + strings.ToLower(name)
				s := httptest.NewServer(&fakeVM{answersFile: file, requestsFile: file + ".requests"})
				e.Defer(s.Close)
				e.Setenv(name, s.Listener.Addr().String())
			}
			closed := httptest.NewServer(nil)
			e.Setenv("GONE", closed.Listener.Addr().String())
			closed.Close()
			return nil
		},
	})
}
