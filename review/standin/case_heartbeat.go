package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["heartbeat"] = playHeartbeat }

const (
	// startLead is how long a new server runs before the old one drains.
	startLead = time.Second
	// linger is how long a server serves beyond drainTime.
	linger = 2 * time.Second
)

// playHeartbeat sends a heartbeat whose id is bytes that are no text to each control
// machine. Then the servers are replaced one after the other, as the pages say. No
// entry may send a server a request later than drainTime after the ack of its
// draining.
func playHeartbeat(d *deployment, trouble bool) error {
	if err := d.start(newManifest(1)); err != nil {
		return err
	}
	d.load(databaseBounded, 50*time.Millisecond)
	time.Sleep(stableTime)
	if trouble {
		for control := range coreCount {
			if err := d.sendForeignHeartbeat(control, "%FF%FE"); err != nil {
				return err
			}
		}
	}
	time.Sleep(time.Second)
	var broken error
	for n := range serverCount {
		// The primary, which is the first one, leaves last.
		old, err := d.cluster.replace((n + 1) % serverCount)
		if err != nil {
			return err
		}
		if err := old.drainAndLeave(); errors.Is(err, errBroken) {
			broken = errors.Join(broken, err)
		} else if err != nil {
			return err
		}
	}
	time.Sleep(linger)
	served := 0
	for entry := range entryCount {
		if d.servesOnce(entry) {
			served++
		}
	}
	d.record.add("check", "after the release %d of %d entries serve a write and a read", served, entryCount)
	if broken != nil {
		return fmt.Errorf("%w; after the release %d of %d entries serve a write and a read", broken, served, entryCount)
	}
	return nil
}

// replace starts a server in place of server n, which then drains, and returns the
// old one.
func (c *cluster) replace(n int) (*server, error) {
	c.mutex.Lock()
	old := c.servers[n]
	log := append([]commit(nil), c.servers[c.primary].log...)
	c.mutex.Unlock()
	s, err := c.addServer(log)
	if err != nil {
		return nil, err
	}
	c.deployment.record.add(s.id, "starts in place of %s", old.id)
	time.Sleep(startLead)
	c.mutex.Lock()
	old.draining = true
	c.mutex.Unlock()
	c.deployment.record.add(old.id, "drains")
	go old.beat()
	return old, nil
}

// drainAndLeave serves until linger beyond drainTime after the ack, ends the server
// and checks when the last request reached it.
func (s *server) drainAndLeave() error {
	c := s.cluster
	ackedAt := s.awaitDrainAck(5 * time.Second)
	if ackedAt.IsZero() {
		return fmt.Errorf("draining of %s was not acknowledged", s.id)
	}
	time.Sleep(time.Until(ackedAt.Add(drainTime + linger)))
	c.mutex.Lock()
	late := s.lastFirstAt.Sub(ackedAt)
	c.mutex.Unlock()
	s.leave()
	c.deployment.record.add("check", "the last request reached %s %s after the ack of draining", s.id, late)
	if late > drainTime {
		return fmt.Errorf("%w: DRAIN: a request reached %s %s after the ack of draining, drain_ms is %s", errBroken, s.id, late, drainTime)
	}
	return nil
}

// awaitDrainAck returns when the server got the ack of its draining, the zero time
// if it got none.
func (s *server) awaitDrainAck(within time.Duration) time.Time {
	for end := time.Now().Add(within); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		s.cluster.mutex.Lock()
		at := s.drainAckedAt
		s.cluster.mutex.Unlock()
		if !at.IsZero() {
			return at
		}
	}
	return time.Time{}
}

// sendForeignHeartbeat sends a heartbeat with an id that is escaped in the path.
func (d *deployment) sendForeignHeartbeat(control int, escapedID string) error {
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": d.ip(groupServer, entryCount) + ":9", "zone": zoneName(0), "version": "v1", "slots": 1, "state": "ready",
		"cold_left_ms": 0, "db_role": "replica", "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	code, text, err := d.call("writer", control, http.MethodPut, names.ServersPath+escapedID, body)
	d.record.add("writer", "heartbeat of %s: status %d %q %v", escapedID, code, text, err)
	return err
}
