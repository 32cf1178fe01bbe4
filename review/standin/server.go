package main

import (
	"bufio"
	"fmt"
	"maps"
	"net"
	"strconv"
	"strings"
	"time"
)

// server is one server of the service. The cluster's mutex guards its fields.
type server struct {
	cluster         *cluster
	number          int
	id, address     string
	born            int64
	sequence        uint64
	control         int
	nextReplication time.Time
	log             []commit
	conns           map[net.Conn]*serverSession
	slots           chan struct{}
	listener        net.Listener
	hasLeft         bool
	runs            int
	// draining is set once the server reports that it leaves, and drainAckedAt
	// when that was acknowledged.
	draining     bool
	drainAckedAt time.Time
	// lastFirstAt is when the last single statement, or first one of a
	// transaction, arrived.
	lastFirstAt time.Time
}

// serverSession is the state of one connection to a server.
type serverSession struct {
	inTransaction, readOnly, failed bool
	// hasRun is set once a statement of the transaction ran.
	hasRun   bool
	tenant   string
	writes   map[string]string
	values   map[string]string
	prepared map[string]string
}

// readMessage reads a message up to its CR LF and returns it without that.
func readMessage(r *bufio.Reader) (string, error) {
	var text strings.Builder
	for {
		part, err := r.ReadString('\n')
		text.WriteString(part)
		if err != nil {
			return "", err
		}
		if strings.HasSuffix(text.String(), "\r\n") {
			return strings.TrimSuffix(text.String(), "\r\n"), nil
		}
	}
}

func (s *server) serve(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go s.serveConn(c)
	}
}

func (s *server) serveConn(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	line, err := readMessage(r)
	if err != nil {
		return
	}
	x := &serverSession{values: map[string]string{}, prepared: map[string]string{}}
	if refusal := s.admit(c, x, strings.Split(line, " ")); refusal != "" {
		_, _ = fmt.Fprintf(c, "ERROR %s %s\r\n", refusal, s.id)
		return
	}
	defer func() {
		s.cluster.mutex.Lock()
		defer s.cluster.mutex.Unlock()
		delete(s.conns, c)
	}()
	s.slots <- struct{}{}
	time.Sleep(4 * time.Millisecond)
	<-s.slots
	if _, err := fmt.Fprintf(c, "READY I %s\r\n", s.position()); err != nil {
		return
	}
	for {
		line, err := readMessage(r)
		if err != nil {
			return
		}
		word, rest, _ := strings.Cut(line, " ")
		id, text, _ := strings.Cut(rest, " ")
		if word != "QUERY" {
			return
		}
		if _, err := c.Write([]byte(s.run(x, id, text))); err != nil {
			return
		}
	}
}

// admit returns the code with which the server refuses a connection, empty if it
// accepts it.
func (s *server) admit(c net.Conn, x *serverSession, words []string) string {
	s.cluster.mutex.Lock()
	defer s.cluster.mutex.Unlock()
	switch {
	case s.hasLeft || len(words) < 3 || words[0] != "START" || words[1] != serviceName || len(words) > 3 && words[3] != s.id:
		return names.WrongServer
	case len(s.conns) >= maxConns:
		return names.TooManyConnections
	}
	s.conns[c], x.tenant = x, words[2]
	return ""
}

func (s *server) position() string {
	s.cluster.mutex.Lock()
	defer s.cluster.mutex.Unlock()
	return s.positionLocked()
}

func (s *server) positionLocked() string {
	term := 1
	if n := len(s.log); n > 0 {
		term = s.log[n-1].term
	}
	if s.number == s.cluster.primary {
		term = s.cluster.term
	}
	return fmt.Sprintf("%d.%d", term, len(s.log))
}

// run runs one statement and returns the whole answer.
func (s *server) run(x *serverSession, id, text string) string {
	verb, _, _ := strings.Cut(text, " ")
	if verb != "SET" && verb != "PREPARE" && verb != "RESET" && verb != "ROLLBACK" {
		s.slots <- struct{}{}
		defer func() { <-s.slots }()
		if verb != "STATUS" && verb != "BEGIN" {
			time.Sleep(workTime)
		}
	}
	s.cluster.mutex.Lock()
	defer s.cluster.mutex.Unlock()
	body := s.execute(x, id, text)
	state := "I"
	switch {
	case x.failed:
		state = "E"
	case x.inTransaction:
		state = "T"
	}
	return fmt.Sprintf("%sREADY %s %s\r\n", body, state, s.positionLocked())
}

const doneWithoutRun = "COMPLETE -\r\n"

// execute runs one statement and returns the answer without its last line. The
// cluster's mutex is held.
func (s *server) execute(x *serverSession, id, text string) string {
	isPrimary := s.number == s.cluster.primary
	verb, rest, _ := strings.Cut(text, " ")
	if verb == "AFTER" {
		position, after, _ := strings.Cut(rest, " ")
		_, number, _ := strings.Cut(position, ".")
		if n, err := strconv.Atoi(number); err != nil || n > len(s.log) {
			return "ERROR LAGGING " + s.id + "\r\n"
		}
		text = after
		verb, rest, _ = strings.Cut(text, " ")
	}
	readOnly := "ERROR READONLY " + s.id + "\r\n"
	name, value, _ := strings.Cut(rest, " ")
	switch verb {
	case "ROLLBACK":
		x.inTransaction, x.readOnly, x.failed, x.writes = false, false, false, nil
		return doneWithoutRun
	case "RESET":
		x.values, x.prepared = map[string]string{}, map[string]string{}
		return doneWithoutRun
	case "SET":
		x.values[name] = value
		return doneWithoutRun
	case "PREPARE":
		x.prepared[name] = value
		return doneWithoutRun
	case "STATUS":
		role := "replica"
		if isPrimary {
			role = "primary"
		}
		return fmt.Sprintf("DATAROW %s %d %s %d 0 1 %d\r\n%s", role, s.cluster.term, s.positionLocked(), s.cluster.term, len(s.conns), doneWithoutRun)
	case "BEGIN":
		if rest == "" && !isPrimary {
			return readOnly
		}
		x.inTransaction, x.hasRun, x.readOnly, x.failed, x.writes = true, false, rest != "", false, map[string]string{}
		return doneWithoutRun
	}
	if x.failed {
		return readOnly
	}
	if verb == "EXEC" {
		mode, _, _ := strings.Cut(x.prepared[name], " ")
		if mode == "" {
			return "ERROR NOSTMT " + s.id + "\r\n"
		}
		verb = mode
		name, value, _ = strings.Cut(value, " ")
	}
	switch verb {
	case "READ", "WRITE", "COMMIT":
	default:
		return "ERROR MALFORMED " + s.id + "\r\n"
	}
	if !isPrimary && (verb == "WRITE" || verb == "COMMIT" && len(x.writes) > 0) {
		x.failed = x.inTransaction
		return readOnly
	}
	if !x.inTransaction || !x.hasRun {
		s.lastFirstAt = time.Now()
		s.cluster.operations = append(s.cluster.operations, operation{id: id, tenant: x.tenant, ranAt: s.lastFirstAt})
	}
	x.hasRun = x.inTransaction
	s.cluster.ran[id] = append(s.cluster.ran[id], text)
	s.cluster.deployment.record.add(s.id, "runs %s: %q", id, text)
	return s.complete(x, id, verb, name, value)
}

// complete carries out a statement that the server may run.
func (s *server) complete(x *serverSession, id, verb, name, value string) string {
	row := ""
	switch {
	case verb == "READ":
		row = "DATAROW " + s.latest(x, name) + "\r\n"
	case verb == "WRITE" && x.inTransaction:
		x.writes[name] = value
	case verb == "WRITE":
		s.log = append(s.log, commit{term: s.cluster.term, values: map[string]string{name: value}})
	case verb == "COMMIT":
		if len(x.writes) > 0 {
			s.log = append(s.log, commit{term: s.cluster.term, values: maps.Clone(x.writes)})
		}
		x.inTransaction, x.readOnly, x.writes = false, false, nil
	}
	s.runs++
	return fmt.Sprintf("%sCOMPLETE %s\r\n", row, s.digest(id))
}

// digest is the server's digest of a statement that it ran.
func (s *server) digest(id string) string {
	return fmt.Sprintf("%d.%x.%s", s.number, s.runs, id)
}

// latest returns the data of an item, a dash if it has none.
func (s *server) latest(x *serverSession, item string) string {
	if v, ok := x.writes[item]; ok {
		return v
	}
	for n := len(s.log); n > 0; n-- {
		if v, ok := s.log[n-1].values[item]; ok {
			return v
		}
	}
	return "-"
}
