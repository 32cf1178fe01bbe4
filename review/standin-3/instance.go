package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"time"
)

// instance is a stand-in of one database instance.
type instance struct {
	group   *group
	fleet   *fleet
	id      string
	address string
	zone    int
	born    int64
	control int
	// statusDelay is the time on the network of a status question of control and of
	// its answer.
	statusDelay atomic.Int64

	// The group's mutex guards the fields below.

	up          bool
	deaf        bool
	isPromoting bool
	term        int
	log         []commit
	state       string
	sequence    int
	// ackedBeatAt is when the last heartbeat was acknowledged, drainAcked whether
	// one that says draining was.
	ackedBeatAt time.Time
	drainAcked  bool
	conns       map[net.Conn]bool
	sessions    []*upstreamSession
	listener    net.Listener
	running     int
}

// upstreamSession is the state of one connection to an instance.
type upstreamSession struct {
	inTransaction, readOnly, failed bool
	writes                          map[string]string
	prepared                        map[string]string
}

func (i *instance) listen() error {
	l, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	i.group.mutex.Lock()
	i.up, i.listener = true, l
	i.group.mutex.Unlock()
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go i.serve(c)
		}
	}()
	return nil
}

// crash ends the instance: its port refuses connections.
func (i *instance) crash() {
	g := i.group
	g.mutex.Lock()
	g.record.printf("%s crashes with %d commits", i.id, len(i.log))
	g.mutex.Unlock()
	i.end()
}

// end closes the port and all connections of the instance.
func (i *instance) end() {
	g := i.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	i.up = false
	// An error means that the listener is closed already.
	_ = i.listener.Close()
	for c := range i.conns {
		c.Close()
	}
	g.changed.Broadcast()
}

// restartAs starts a crashed instance again under another id, with its log.
func (i *instance) restartAs(id string) error {
	g := i.group
	g.mutex.Lock()
	i.id = id
	i.born, i.sequence, i.state, i.deaf = time.Now().UnixMilli(), 0, "ready", false
	g.mutex.Unlock()
	g.record.printf("%s is back", id)
	return i.listen()
}

// setDeaf makes a replica receive nothing, or receive again.
func (i *instance) setDeaf(deaf bool) {
	g := i.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	i.deaf = deaf
	g.record.printf("%s deaf %v with %d commits", i.id, deaf, len(i.log))
}

// beat sends heartbeats until the run ends.
func (i *instance) beat() {
	i.sendBeat()
	i.fleet.every(heartbeatInterval, i.sendBeat)
}

func (i *instance) sendBeat() {
	g := i.group
	g.mutex.Lock()
	if !i.up {
		g.mutex.Unlock()
		return
	}
	i.sequence++
	role := "replica"
	if g.primary == i {
		role = "primary"
	}
	state := i.state
	body, err := json.Marshal(map[string]any{
		"service": g.service, "address": i.address, "zone": fmt.Sprintf("muscat-%c", 'a'+i.zone), "version": "v1", "slots": 3,
		"state": state, "cold_left_ms": 0, "db_role": role, "sequence": i.sequence, "born": i.born,
	})
	g.mutex.Unlock()
	if err != nil {
		return
	}
	for range coreCount {
		code, _, err := i.fleet.callControl(i.control, http.MethodPut, nameOf("instances-path")+i.id, string(body))
		if err == nil && code/100 == 2 {
			g.mutex.Lock()
			i.ackedBeatAt = time.Now()
			i.drainAcked = i.drainAcked || state == "draining"
			g.mutex.Unlock()
			if state == "draining" {
				g.record.printf("%s says draining to core-%d: %d", i.id, i.control%coreCount, code)
			}
			return
		}
		g.record.printf("heartbeat of %s to core-%d: %d %v", i.id, i.control%coreCount, code, err)
		i.control++
	}
}

// drain makes the instance say that it leaves, at once and with each heartbeat.
func (i *instance) drain() {
	i.group.mutex.Lock()
	i.state = "draining"
	i.group.mutex.Unlock()
	i.sendBeat()
}

func (i *instance) failTransactions() {
	for _, s := range i.sessions {
		if s.inTransaction && !s.readOnly {
			s.failed = true
		}
	}
}

func (i *instance) position() string {
	term := i.term
	if n := len(i.log); n > 0 {
		term = i.log[n-1].term
	}
	return fmt.Sprintf("%d.%d", term, len(i.log))
}

func (i *instance) serve(c net.Conn) {
	defer c.Close()
	g := i.group
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	words := strings.Fields(line)
	s := &upstreamSession{prepared: map[string]string{}}
	g.mutex.Lock()
	answer := ""
	switch {
	case err != nil || !i.up:
		g.mutex.Unlock()
		return
	case len(words) < 2 || words[0] != "START" || words[1] != g.service || len(words) > 3 && words[3] != i.id:
		answer = "ERROR " + nameOf("wrong-instance") + " " + i.id + "\r\n"
	case len(i.conns) >= maxConns:
		answer = "ERROR " + nameOf("too-many-connections") + " " + i.id + "\r\n"
	}
	if answer != "" {
		g.mutex.Unlock()
		fmt.Fprint(c, answer)
		return
	}
	i.conns[c] = true
	i.sessions = append(i.sessions, s)
	answer = "READY I " + i.position() + "\r\n"
	g.mutex.Unlock()
	defer func() {
		g.mutex.Lock()
		delete(i.conns, c)
		s.inTransaction = false
		g.mutex.Unlock()
	}()
	fmt.Fprint(c, answer)
	for {
		line, err := r.ReadString('\n')
		if err != nil {
			return
		}
		rest, ok := strings.CutPrefix(strings.TrimSuffix(line, "\r\n"), "QUERY ")
		id, text, _ := strings.Cut(rest, " ")
		if !ok {
			return
		}
		time.Sleep(statementTime)
		if text == "STATUS" {
			time.Sleep(time.Duration(i.statusDelay.Load()))
		}
		if out := i.run(s, id, text); out != "" {
			fmt.Fprint(c, out)
			continue
		}
		return
	}
}

// run runs one statement and returns the answer, empty if the instance is down.
func (i *instance) run(s *upstreamSession, id, text string) string {
	g := i.group
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if !i.up {
		return ""
	}
	body := i.execute(s, id, text)
	if !i.up || body == "" {
		return ""
	}
	state := "I"
	if s.inTransaction {
		state = "T"
		if s.failed {
			state = "E"
		}
	}
	return body + "READY " + state + " " + i.position() + "\r\n"
}

func (i *instance) execute(s *upstreamSession, id, text string) string {
	g := i.group
	fail := func(code string) string { return "ERROR " + code + " " + i.id + "\r\n" }
	if rest, ok := strings.CutPrefix(text, "AFTER "); ok {
		at, statement, _ := strings.Cut(rest, " ")
		if !i.holds(at) {
			return fail("LAGGING")
		}
		text = statement
	}
	verb, rest, _ := strings.Cut(text, " ")
	switch verb {
	case "ROLLBACK":
		s.inTransaction, s.failed, s.writes = false, false, nil
		return "COMPLETE -\r\n"
	case "RESET":
		s.prepared = map[string]string{}
		return "COMPLETE -\r\n"
	case "SET", "DEALLOC":
		return "COMPLETE -\r\n"
	case "PREPARE":
		name, shape, _ := strings.Cut(rest, " ")
		s.prepared[name] = shape
		return "COMPLETE -\r\n"
	case "STATUS":
		role := "replica"
		if g.primary == i {
			role = "primary"
		}
		return fmt.Sprintf("DATAROW %s %d %s 0 0 %d %d\r\nCOMPLETE -\r\n", role, i.term, i.position(), i.running, len(i.conns))
	}
	if s.failed {
		return fail("READONLY")
	}
	return i.executeData(s, id, verb, rest)
}

func (i *instance) executeData(s *upstreamSession, id, verb, rest string) string {
	g := i.group
	isPrimary := g.primary == i
	readOnly := "ERROR READONLY " + i.id + "\r\n"
	complete := func() string { return fmt.Sprintf("COMPLETE %d.%s.%s\r\n", i.term, i.id, id) }
	switch verb {
	case "BEGIN":
		if rest != "READ" && !isPrimary {
			return readOnly
		}
		s.inTransaction, s.readOnly, s.writes = true, rest == "READ", map[string]string{}
		return "COMPLETE -\r\n"
	case "READ":
		value := ""
		for n := len(i.log); n > 0 && value == ""; n-- {
			value = i.log[n-1].writes[rest]
		}
		return "DATAROW " + value + "\r\n" + complete()
	case "WRITE":
		if !isPrimary || s.readOnly && s.inTransaction {
			s.failed = s.inTransaction
			return readOnly
		}
		item, data, _ := strings.Cut(rest, " ")
		if s.inTransaction {
			s.writes[item] = data
			return complete()
		}
		return i.commit(id, map[string]string{item: data}, complete)
	case "COMMIT":
		writes := s.writes
		if len(writes) > 0 && !isPrimary {
			s.failed = true
			return readOnly
		}
		s.inTransaction, s.writes = false, nil
		if len(writes) == 0 {
			return complete()
		}
		return i.commit(id, writes, complete)
	}
	return "ERROR MALFORMED " + i.id + "\r\n"
}

// commit appends a commit and waits until enough replicas have received it. It
// returns an empty answer if the instance ended or lost the lead meanwhile.
func (i *instance) commit(id string, writes map[string]string, complete func() string) string {
	g := i.group
	if _, ok := g.sent[id]; !ok {
		go g.record.brokenRule("UNASKED: %s ran %s", i.id, id)
	}
	i.log = append(i.log, commit{term: g.term, id: id, writes: writes})
	index, term := len(i.log), g.term
	for g.holdersOf(index, id) < g.sync {
		g.changed.Wait()
		if !i.up || g.term != term {
			return ""
		}
	}
	return complete()
}

// holds reports whether the log has a position.
func (i *instance) holds(at string) bool {
	term, number, _ := strings.Cut(at, ".")
	t, _ := strconv.Atoi(term)
	n, _ := strconv.Atoi(number)
	if n == 0 {
		return true
	}
	if n > len(i.log) {
		return false
	}
	return i.log[n-1].term == t || n == len(i.log) && i.term >= t || i.log[n-1].term < t && i.term >= t
}
