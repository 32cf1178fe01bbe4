package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"
)

func init() { cases["incomplete"] = playIncomplete }

const (
	// otherLogLength is the length of the log of the other writer's server.
	otherLogLength = 5000
	// readTime is how long the clients read.
	readTime = 8 * time.Second
)

// playIncomplete runs a server that belongs to another writer: it has the service's
// name and other data. Its heartbeats lack fields. Clients write an item and read it
// once the write is older than the route allows a read to be.
func playIncomplete(d *deployment, trouble bool) error {
	if err := d.start(newManifest(1)); err != nil {
		return err
	}
	other, err := d.startOtherServer()
	if err != nil {
		return err
	}
	time.Sleep(stableTime)
	c, code, err := d.connect("writer", 0, databasePrimary, checkKey)
	if err != nil || c == nil {
		return errors.Join(err, fmt.Errorf("no session: %s", code))
	}
	a, err := c.query(newID(), "WRITE 1a4 mine")
	c.close()
	if err != nil || a.code != "" {
		return errors.Join(err, fmt.Errorf("the write failed: %s", a.code))
	}
	time.Sleep(3 * time.Second)
	if trouble {
		d.spawn(func() { d.every(heartbeat, func() { d.sendIncomplete(other) }) })
	}
	foreign, reads := 0, 0
	for end := time.Now().Add(readTime); time.Now().Before(end); reads++ {
		row, err := d.readOnce(reads)
		if err != nil {
			return err
		}
		if row != "" && row != "mine" {
			foreign++
		}
	}
	d.record.add("check", "%d of %d reads got rows that are not the service's", foreign, reads)
	if foreign > 0 {
		return fmt.Errorf("%w: STALE: %d of %d reads ran on a log that lacks the commit acknowledged before, and got another writer's rows", errBroken, foreign, reads)
	}
	return nil
}

// startOtherServer starts a server that is no instance of the deployment.
func (d *deployment) startOtherServer() (*server, error) {
	c := newCluster()
	c.deployment = d
	// Its place among the addresses is behind those of the deployment's servers.
	c.servers = make([]*server, serverCount, serverCount+1)
	for n := range c.servers {
		c.servers[n] = &server{cluster: c, number: n, hasLeft: true}
	}
	var log []commit
	for n := range otherLogLength {
		log = append(log, commit{term: 1, values: map[string]string{"1a4": "other-" + strconv.Itoa(n)}})
	}
	return c.addListeningServer(log)
}

// readOnce reads the item at one entry, and returns its row, empty if the entry
// refused the read.
func (d *deployment) readOnce(number int) (string, error) {
	c, _, err := d.connect("reader", number, databaseBounded, checkKey)
	if err != nil || c == nil {
		return "", err
	}
	defer c.close()
	a, err := c.query(newID(), "READ 1a4")
	if err != nil || a.code != "" || len(a.rows) == 0 {
		return "", err
	}
	return a.rows[0], nil
}

// sendIncomplete sends a heartbeat without version, slots, cold_left_ms and
// born, to one control machine.
func (d *deployment) sendIncomplete(s *server) {
	s.cluster.mutex.Lock()
	s.sequence++
	sequence := s.sequence
	s.cluster.mutex.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": serviceName, "address": s.address, "zone": zoneName(0), "state": "ready", "db_role": "replica", "sequence": sequence,
	})
	if err != nil {
		return
	}
	code, text, err := d.call("other", int(sequence), http.MethodPut, names.ServersPath+s.id, body)
	d.record.add("other", "heartbeat %s: status %d %q %v", body, code, text, err)
}
