package main

import (
	"bufio"
	"fmt"
	"hash/fnv"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// The database stands in for one service of the users' pages: a primary and its
// replicas, which receive the primary's log asynchronously. It keeps what
// PROTOCOL.md says under "The wire" and "Instances".

const (
	// workTime is how long a read, a write or a commit takes.
	workTime = 2 * time.Millisecond
	// replicationInterval is how often replicas receive what the primary has.
	replicationInterval = 8 * time.Millisecond
	// promoteTime is the time from the platform's call until the instance leads.
	promoteTime = 300 * time.Millisecond
	// slots is the number of slots that an instance announces.
	slots = 4
)

// entry is one commit in a log: the term in which it was made, and the ids of the
// statements that wrote, by item.
type entry struct {
	term   int
	writes map[string]string
}

// instance is one instance of the service. The database's mutex guards it.
type instance struct {
	database  *database
	id        string
	zone      string
	address   string
	listener  net.Listener
	isPrimary bool
	down      bool
	// dark is closed once the instance's machine has gone dark: nothing is answered
	// any more, and connections to it hang.
	dark          chan struct{}
	born          int64
	sequence      int
	log           []entry
	conns         map[net.Conn]bool
	heartbeatNext int
	// registered is set once a heartbeat was acknowledged.
	registered bool
}

// database is the service's group of instances.
type database struct {
	mutex     sync.Mutex
	service   string
	instances []*instance
	term      int
	fence     uint64
	record    *recorder
}

// upstreamSession is the state of one connection to an instance.
type upstreamSession struct {
	inTransaction, readOnly, failed bool
	writes                          map[string]string
	prepared                        map[string]string
}

func newDatabase(service string, addresses, zones []string, record *recorder) (*database, error) {
	d := &database{service: service, term: 1, record: record}
	for n, a := range addresses {
		i := &instance{
			database: d, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+n), zone: zones[n], address: a,
			isPrimary: n == 0, born: time.Now().UnixMilli(), conns: map[net.Conn]bool{}, heartbeatNext: n,
			dark: make(chan struct{}),
		}
		d.instances = append(d.instances, i)
		if err := i.listen(); err != nil {
			return nil, err
		}
	}
	return d, nil
}

// listen starts to accept connections at the instance's address.
func (i *instance) listen() error {
	l, err := net.Listen("tcp", i.address)
	if err != nil {
		return err
	}
	i.listener, i.address = l, l.Addr().String()
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

// crash stops the instance: its connections are reset and new ones refused. Its log
// stays.
func (i *instance) crash() {
	d := i.database
	d.mutex.Lock()
	defer d.mutex.Unlock()
	i.down = true
	_ = i.listener.Close()
	for c := range i.conns {
		if t, ok := c.(*net.TCPConn); ok {
			_ = t.SetLinger(0)
		}
		_ = c.Close()
	}
	i.conns = map[net.Conn]bool{}
	d.record.printf("database: %s crashes (primary %v, log at %s)", i.id, i.isPrimary, i.position())
}

// restart starts the instance again under its id and with its log. If no other
// instance was promoted meanwhile, a primary is the primary still.
func (i *instance) restart() error {
	d := i.database
	d.mutex.Lock()
	defer d.mutex.Unlock()
	i.down, i.born, i.sequence = false, time.Now().UnixMilli(), 0
	d.record.printf("database: %s is back (primary %v, log at %s)", i.id, i.isPrimary, i.position())
	return i.listen()
}

// goDark makes the instance silent for good, as a machine without power is. No
// connection is reset or refused.
func (i *instance) goDark() {
	d := i.database
	d.mutex.Lock()
	defer d.mutex.Unlock()
	i.down = true
	close(i.dark)
	d.record.printf("database: %s goes dark (primary %v, log at %s)", i.id, i.isPrimary, i.position())
}

// hangIfDark does not return while the instance's machine is dark, and so until the
// end of the case.
func (i *instance) hangIfDark() {
	select {
	case <-i.dark:
		select {}
	default:
	}
}

// position returns the position of the log. The mutex must be held.
func (i *instance) position() string {
	term := 1
	if n := len(i.log); n > 0 {
		term = i.log[n-1].term
	}
	if i.isPrimary {
		term = i.database.term
	}
	return fmt.Sprintf("%d.%d", term, len(i.log))
}

// replicate copies the primary's log to the replicas that run.
func (d *database) replicate() {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	for _, p := range d.instances {
		if !p.isPrimary || p.down {
			continue
		}
		for _, i := range d.instances {
			if i == p || i.down || i.isPrimary {
				continue
			}
			common := 0
			for common < len(i.log) && common < len(p.log) && i.log[common].term == p.log[common].term {
				common++
			}
			i.log = append(i.log[:common:common], p.log[common:]...)
		}
	}
}

// promote carries out the platform's call and returns the status code.
func (d *database) promote(id string, fence uint64, holder string) int {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	d.record.printf("platform: POST /promotion id %s fence %d holder %s", id, fence, holder)
	if fence < d.fence {
		return 409
	}
	d.fence = fence
	for _, i := range d.instances {
		switch {
		case i.id != id:
		case i.down:
			return 409
		case i.isPrimary:
			return 200
		default:
			time.AfterFunc(promoteTime, func() { d.lead(i, fence) })
			return 200
		}
	}
	return 409
}

// lead makes an instance the primary of the next term. Replicas that run and are
// ahead of it are rolled back.
func (d *database) lead(to *instance, fence uint64) {
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if to.down || fence < d.fence {
		return
	}
	d.term++
	for _, i := range d.instances {
		i.isPrimary = i == to
		if !i.down && len(i.log) > len(to.log) {
			i.log = i.log[:len(to.log)]
		}
	}
	d.record.printf("database: %s leads term %d from %s", to.id, d.term, to.position())
}

func (i *instance) serve(c net.Conn) {
	defer c.Close()
	r := bufio.NewReader(c)
	line, err := r.ReadString('\n')
	i.hangIfDark()
	words := strings.Fields(line)
	d := i.database
	d.mutex.Lock()
	wrong := len(words) < 3 || words[0] != "START" || words[1] != d.service || len(words) > 3 && words[3] != i.id
	if err == nil && !i.down {
		i.conns[c] = true
	}
	ready := fmt.Sprintf("READY I %s\r\n", i.position())
	down := i.down
	d.mutex.Unlock()
	defer func() {
		d.mutex.Lock()
		delete(i.conns, c)
		d.mutex.Unlock()
	}()
	if err != nil || down {
		return
	}
	if wrong {
		fmt.Fprintf(c, "ERROR %s %s\r\n", names["wrong"], i.id)
		return
	}
	fmt.Fprint(c, ready)
	s := &upstreamSession{prepared: map[string]string{}}
	for {
		line, err := r.ReadString('\n')
		i.hangIfDark()
		if err != nil {
			return
		}
		id, text, ok := strings.Cut(strings.TrimPrefix(strings.TrimSuffix(line, "\r\n"), "QUERY "), " ")
		if !ok || !strings.HasPrefix(line, "QUERY ") {
			return
		}
		if word, _, _ := strings.Cut(text, " "); word != "SET" && word != "PREPARE" && word != "BEGIN" {
			time.Sleep(workTime)
		}
		answer, ok := i.run(s, id, text)
		i.hangIfDark()
		if !ok {
			return
		}
		if _, err := c.Write([]byte(answer)); err != nil {
			return
		}
	}
}

// run executes a statement and returns the whole answer, and false if the instance
// does not run.
func (i *instance) run(s *upstreamSession, id, text string) (string, bool) {
	d := i.database
	d.mutex.Lock()
	defer d.mutex.Unlock()
	if i.down {
		return "", false
	}
	body := i.execute(s, id, text)
	state := "I"
	switch {
	case s.inTransaction && s.failed:
		state = "E"
	case s.inTransaction:
		state = "T"
	}
	if id != "-" {
		answer, _, _ := strings.Cut(body, "\r\n")
		d.record.printf("database: %s runs %s %q at %s: %s", i.id, id, text, i.position(), answer)
	}
	return fmt.Sprintf("%sREADY %s %s\r\n", body, state, i.position()), true
}

// covers reports whether the log holds a position. The mutex must be held.
func (i *instance) covers(position string) bool {
	term, number, _ := strings.Cut(position, ".")
	t, _ := strconv.Atoi(term)
	n, _ := strconv.Atoi(number)
	return n <= len(i.log) && (n == 0 || i.log[n-1].term <= t)
}

func (i *instance) execute(s *upstreamSession, id, text string) string {
	words := strings.Fields(text)
	if words[0] == "AFTER" && len(words) > 2 {
		if !i.covers(words[1]) {
			return "ERROR LAGGING " + i.id + "\r\n"
		}
		words = words[2:]
	}
	switch words[0] {
	case "ROLLBACK":
		s.inTransaction, s.failed, s.writes = false, false, nil
		return "COMPLETE -\r\n"
	case "RESET":
		s.prepared = map[string]string{}
		return "COMPLETE -\r\n"
	case "SET":
		return "COMPLETE -\r\n"
	case "PREPARE":
		s.prepared[words[1]] = words[2]
		return "COMPLETE -\r\n"
	case "STATUS":
		return i.status()
	case "EXEC":
		mode, ok := s.prepared[words[1]]
		if !ok {
			return "ERROR NOSTMT " + i.id + "\r\n"
		}
		words = append([]string{mode}, words[2:]...)
	}
	if s.failed {
		return "ERROR MALFORMED\r\n"
	}
	return i.access(s, id, words)
}

// status returns the row of role, term, received position, held term, lag, busy
// slots and connections.
func (i *instance) status() string {
	role := "replica"
	if i.isPrimary {
		role = "primary"
	}
	term, _, _ := strings.Cut(i.position(), ".")
	return fmt.Sprintf("DATAROW %s %s %s 0 0 1 %d\r\nCOMPLETE -\r\n", role, term, i.position(), len(i.conns))
}

// access executes a statement that begins, reads, writes or commits.
func (i *instance) access(s *upstreamSession, id string, words []string) string {
	switch {
	case words[0] == "BEGIN":
		readOnly := len(words) > 1
		if !readOnly && !i.isPrimary {
			return "ERROR READONLY " + i.id + "\r\n"
		}
		s.inTransaction, s.readOnly, s.failed, s.writes = true, readOnly, false, map[string]string{}
		return "COMPLETE -\r\n"
	case s.inTransaction && !s.readOnly && !i.isPrimary, words[0] == "WRITE" && !i.isPrimary:
		s.failed = s.inTransaction
		return "ERROR READONLY " + i.id + "\r\n"
	case words[0] == "READ":
		return fmt.Sprintf("DATAROW %s\r\nCOMPLETE %s\r\n", i.lastWriter(words[1]), i.digest(id))
	case words[0] == "WRITE" && s.inTransaction:
		s.writes[words[1]] = id
		return "COMPLETE " + i.digest(id) + "\r\n"
	case words[0] == "WRITE":
		i.log = append(i.log, entry{term: i.database.term, writes: map[string]string{words[1]: id}})
		return "COMPLETE " + i.digest(id) + "\r\n"
	case words[0] == "COMMIT":
		if len(s.writes) > 0 {
			i.log = append(i.log, entry{term: i.database.term, writes: s.writes})
		}
		s.inTransaction, s.writes = false, nil
		return "COMPLETE " + i.digest(id) + "\r\n"
	}
	return "ERROR MALFORMED\r\n"
}

// lastWriter returns the id of the statement that wrote an item last, "-" if none did.
func (i *instance) lastWriter(item string) string {
	for n := len(i.log) - 1; n >= 0; n-- {
		if id, ok := i.log[n].writes[item]; ok {
			return id
		}
	}
	return "-"
}

// digest returns what only this instance returns for a statement.
func (i *instance) digest(id string) string {
	h := fnv.New64a()
	fmt.Fprint(h, i.id, id)
	return fmt.Sprintf("%x", h.Sum64())
}
