package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

const (
	serverCount    = 3
	maxConns       = 22
	slotCount      = 3
	replicationLag = 8 * time.Millisecond
	promoteTime    = 600 * time.Millisecond
	workTime       = 8 * time.Millisecond
)

// commit is one committed transaction.
type commit struct {
	term int
	// values holds the data written to each item.
	values map[string]string
}

// cluster is the service with its servers.
type cluster struct {
	deployment *deployment
	mutex      sync.Mutex
	servers    []*server
	primary    int
	term       int
	// promoting is the server that is being promoted, nil if there is none.
	promoting *server
	// lag is how late replicas apply the log.
	lag          time.Duration
	highestToken uint64
	// ran holds the statements that the servers ran, by the id that the client gave
	// them.
	ran map[string][]string
	// operations are the single statements, and the first ones of transactions, that
	// the servers ran, in order.
	operations []operation
}

// operation is an operation that a server ran.
type operation struct {
	id, tenant string
	ranAt      time.Time
}

func newCluster() *cluster {
	return &cluster{term: 1, lag: replicationLag, ran: map[string][]string{}}
}

// start starts the servers, their heartbeats and their replication.
func (c *cluster) start(d *deployment) error {
	c.deployment = d
	for range serverCount {
		if _, err := c.addServer(nil); err != nil {
			return err
		}
	}
	d.spawn(func() {
		d.every(2*time.Millisecond, func() { c.replicate(time.Now()) })
	})
	return nil
}

// addServer starts a server with a log, and its heartbeats.
func (c *cluster) addServer(log []commit) (*server, error) {
	s, err := c.addListeningServer(log)
	if err != nil {
		return nil, err
	}
	c.deployment.spawn(func() {
		s.beat()
		c.deployment.every(heartbeat, s.beat)
	})
	return s, nil
}

// addListeningServer starts a server that sends no heartbeats.
func (c *cluster) addListeningServer(log []commit) (*server, error) {
	d := c.deployment
	c.mutex.Lock()
	n := len(c.servers)
	c.mutex.Unlock()
	l, err := net.Listen("tcp", net.JoinHostPort(d.ip(groupServer, n), strconv.Itoa(d.ports.server)))
	if err != nil {
		return nil, err
	}
	s := &server{
		cluster: c, number: n, id: fmt.Sprintf("i-%08x", 0x7f3a91c2+n*7919), address: l.Addr().String(), born: time.Now().UnixMilli(),
		conns: map[net.Conn]*serverSession{}, slots: make(chan struct{}, slotCount), listener: l, log: log,
	}
	c.mutex.Lock()
	c.servers = append(c.servers, s)
	d.listeners = append(d.listeners, l)
	c.mutex.Unlock()
	go s.serve(l)
	return s, nil
}

// replicate copies the primary's log to the replicas.
func (c *cluster) replicate(now time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	p := c.servers[c.primary]
	for _, s := range c.servers {
		if s == p || s.hasLeft || now.Before(s.nextReplication) {
			continue
		}
		s.nextReplication = now.Add(c.lag)
		if len(s.log) < len(p.log) {
			s.log = append(s.log[:len(s.log):len(s.log)], p.log[len(s.log):]...)
		}
	}
}

// promote makes a server the primary after promoteTime.
func (c *cluster) promote(id string, token uint64) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if token < c.highestToken {
		return false
	}
	c.highestToken = token
	for n, s := range c.servers {
		if s.id != id || s.hasLeft {
			continue
		}
		if n == c.primary || c.promoting == s {
			return true
		}
		c.promoting = s
		time.AfterFunc(promoteTime, func() { c.finishPromotion(s, token) })
		return true
	}
	return false
}

func (c *cluster) finishPromotion(s *server, token uint64) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if c.promoting != s || token < c.highestToken {
		return
	}
	c.promoting = nil
	for _, other := range c.servers {
		if len(other.log) > len(s.log) {
			other.log = other.log[:len(s.log)]
		}
		for _, x := range other.conns {
			x.failed = x.failed || x.inTransaction && !x.readOnly
		}
	}
	c.primary, c.term = s.number, c.term+1
	c.deployment.record.add(s.id, "leads term %d", c.term)
	go s.beat()
}

func (c *cluster) closeConns() {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	for _, s := range c.servers {
		for conn := range s.conns {
			_ = conn.Close()
		}
	}
}

// textsRun returns the texts that the servers ran under an id.
func (c *cluster) textsRun(id string) []string {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	return append([]string(nil), c.ran[id]...)
}

// beat sends a heartbeat to a control machine, and to the next one if it fails.
func (s *server) beat() {
	c := s.cluster
	c.mutex.Lock()
	if s.hasLeft {
		c.mutex.Unlock()
		return
	}
	role := "replica"
	if s.number == c.primary {
		role = "primary"
	}
	state := "ready"
	if s.draining {
		state = "draining"
	}
	s.sequence++
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": s.address, "zone": zoneName(s.number % zoneCount), "version": "v1", "slots": slotCount, "state": state,
		"cold_left_ms": 0, "db_role": role, "sequence": s.sequence, "born": s.born,
	})
	control := s.control
	c.mutex.Unlock()
	if err != nil {
		return
	}
	for n := range coreCount {
		code, _, err := c.deployment.call(s.id, control+n, http.MethodPut, names.ServersPath+s.id, body)
		if err == nil && code/100 == 2 {
			c.mutex.Lock()
			s.control = control + n
			isFirst := state == "draining" && s.drainAckedAt.IsZero()
			if isFirst {
				s.drainAckedAt = time.Now()
			}
			c.mutex.Unlock()
			if isFirst {
				c.deployment.record.add(s.id, "draining is acknowledged by core-%d", (control+n)%coreCount+1)
			}
			return
		}
	}
}

// leave ends a server that has drained.
func (s *server) leave() {
	c := s.cluster
	for n := range coreCount {
		if code, _, err := c.deployment.call(s.id, n, http.MethodDelete, names.ServersPath+s.id, nil); err == nil && code/100 == 2 {
			break
		}
	}
	c.mutex.Lock()
	defer c.mutex.Unlock()
	s.hasLeft = true
	_ = s.listener.Close()
	for conn := range s.conns {
		_ = conn.Close()
	}
	c.deployment.record.add(s.id, "has left")
}
