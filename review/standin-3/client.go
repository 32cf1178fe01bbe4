package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// statementWait is how long a client waits for an answer.
const statementWait = 3 * time.Second

// idCounter numbers the statements of all clients.
var idCounter atomic.Int64

func newID() string { return fmt.Sprintf("%016x", 0x5c0e7a21d9000000+idCounter.Add(1)) }

// session is a client's connection to a front.
type session struct {
	conn   net.Conn
	reader *bufio.Reader
	front  int
}

// reply is the answer to one statement.
type reply struct {
	rows    []string
	digest  string
	code    string
	state   string
	elapsed time.Duration
}

// readyFront returns a front that is in rotation, or -1.
func (f *fleet) readyFront(from int) int {
	for n := range frontCount {
		if k := (from + n) % frontCount; f.ready[k].Load() {
			return k
		}
	}
	return -1
}

// open opens a session at a front.
func (f *fleet) open(front int, database string) (*session, error) {
	c, err := net.DialTimeout("tcp", f.address(f.fronts[front].ip, f.ports.front), time.Second)
	if err != nil {
		return nil, err
	}
	s := &session{conn: c, reader: bufio.NewReader(c), front: front}
	_ = c.SetDeadline(time.Now().Add(2 * time.Second))
	fmt.Fprintf(c, "START %s\r\n", database)
	line, err := s.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY I") {
		c.Close()
		return nil, fmt.Errorf("start: %q %w", line, err)
	}
	return s, nil
}

// query sends one statement and reads the answer.
func (s *session) query(id, text string) (reply, error) {
	started := time.Now()
	_ = s.conn.SetDeadline(started.Add(statementWait))
	if _, err := fmt.Fprintf(s.conn, "QUERY %s %s\r\n", id, text); err != nil {
		return reply{}, err
	}
	var out reply
	for {
		line, err := s.reader.ReadString('\n')
		if err != nil {
			return out, err
		}
		word, rest, _ := strings.Cut(strings.TrimSuffix(line, "\r\n"), " ")
		switch word {
		case "DATAROW":
			out.rows = append(out.rows, rest)
		case "COMPLETE":
			out.digest = rest
		case "ERROR":
			out.code, _, _ = strings.Cut(rest, " ")
		case "READY":
			out.state, _, _ = strings.Cut(rest, " ")
			out.elapsed = time.Since(started)
			return out, nil
		}
	}
}

// load runs writers and readers until the run ends.
func (w *world) load(writers, readers int) {
	for n := range writers + readers {
		w.fleet.spawn(func() { w.runClient(n, n < writers) })
	}
}

func (w *world) runClient(n int, writes bool) {
	var s *session
	random := rand.New(rand.NewPCG(1, uint64(n)))
	databases := []string{"dbb", "dbo", "dbp"}
	for count := 0; ; count++ {
		select {
		case <-w.fleet.done:
			if s != nil {
				s.conn.Close()
			}
			return
		case <-time.After(time.Duration(10+random.IntN(20)) * time.Millisecond):
		}
		if s == nil {
			database := "dbp"
			if !writes {
				database = databases[n%len(databases)]
			}
			front := w.fleet.readyFront(random.IntN(frontCount))
			if front < 0 {
				continue
			}
			opened, err := w.fleet.open(front, database)
			if err != nil {
				continue
			}
			s = opened
		}
		id, text := newID(), fmt.Sprintf("READ item-%d", random.IntN(20))
		if writes {
			text = fmt.Sprintf("WRITE item-%d v%d", n, count)
			w.group.recordSent(id, text)
		}
		a, err := s.query(id, text)
		if writes {
			w.record.printf("front-%d %s %s: %s %s %s %v", s.front, id, text, a.digest, a.code, a.state, err)
		}
		if writes && err == nil && a.code == "" && a.digest != "" {
			w.group.recordAck(id)
		}
		if err != nil || a.code != "" {
			s.conn.Close()
			s = nil
		}
	}
}
