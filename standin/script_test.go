package standin

import (
	"bufio"
	"os"
	"strings"
	"testing"

	"github.com/jackc/pgx/v5"
)

// TestSession runs testdata/session.txt over the simple protocol.
func TestSession(t *testing.T) {
	s := startServer(t, Options{})
	conns := map[string]*pgx.Conn{"a": connect(t, s), "b": connect(t, s)}
	f, err := os.Open("testdata/session.txt")
	if err != nil {
		t.Fatal(err)
	}
	defer f.Close()
	lines := bufio.NewScanner(f)
	for n := 1; lines.Scan(); n++ {
		line := lines.Text()
		if strings.HasPrefix(line, "#") {
			continue
		}
		name, rest, _ := strings.Cut(line, "> ")
		sql, want, _ := strings.Cut(rest, " => ")
		if got := runSQL(conns[name], sql, pgx.QueryExecModeSimpleProtocol); got != want {
			t.Errorf("line %d: %s gave %q, want %q", n, sql, got, want)
		}
	}
}

// TestDeadlock lets two transactions wait for each other's rows. The one that
// completes the cycle must fail, and the other one must then go through. With
// one slot the test also fails if a waiting transaction keeps its slot.
func TestDeadlock(t *testing.T) {
	s := startServer(t, Options{Slots: 1})
	a, b := connect(t, s), connect(t, s)
	runSQL(a, "INSERT INTO kv (key, value) VALUES ('1', '0')")
	runSQL(a, "INSERT INTO kv (key, value) VALUES ('2', '0')")
	runSQL(a, "BEGIN")
	runSQL(b, "BEGIN")
	runSQL(a, "UPDATE kv SET value = 'a' WHERE key = '1'")
	runSQL(b, "UPDATE kv SET value = 'b' WHERE key = '2'")
	result := make(chan string)
	go func() { result <- runSQL(a, "UPDATE kv SET value = 'a' WHERE key = '2'") }()
	blocked := func() bool {
		s.store.mu.Lock()
		defer s.store.mu.Unlock()
		return s.store.rowLocks[rowID{"kv", "1"}].waitingFor != nil
	}
	if !eventually(blocked) {
		t.Fatal("the first writer does not wait")
	}
	if got := runSQL(b, "UPDATE kv SET value = 'b' WHERE key = '1'"); got != codeDeadlock {
		t.Fatalf("the second writer got %s", got)
	}
	if got := <-result; got != "UPDATE 1" {
		t.Fatalf("the first writer got %s", got)
	}
}
