package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["foreign-service"] = playForeignService }

// playForeignService sends one heartbeat of another writer, which names a service
// that is in no manifest. The name holds a line end and a statement, and the address
// is that of the primary. No server may run the statement.
func playForeignService(d *deployment, trouble bool) error {
	if err := d.start(newManifest(1)); err != nil {
		return err
	}
	time.Sleep(stableTime)
	c, code, err := d.connect("client", 0, databasePrimary, checkKey)
	if err != nil || c == nil {
		return fmt.Errorf("no session: %s %w", code, err)
	}
	defer c.close()
	if a, err := c.query(newID(), "WRITE 1a4 mine"); err != nil || a.code != "" {
		return fmt.Errorf("the write failed: %s %w", a.code, err)
	}
	foreign := newID()
	if trouble {
		if err := d.sendForeignService(foreign); err != nil {
			return err
		}
	}
	time.Sleep(2 * time.Second)
	a, err := c.query(newID(), "READ 1a4")
	if err != nil || a.code != "" || len(a.rows) == 0 {
		return fmt.Errorf("the read failed: %s %w", a.code, err)
	}
	ran := d.cluster.textsRun(foreign)
	d.record.add("check", "%s, which no client sent, ran as %q; the client wrote %q and reads %q", foreign, ran, "mine", a.rows[0])
	if len(ran) > 0 {
		return fmt.Errorf("%w: UNASKED: a server ran %q, which no client sent; the client wrote %q and reads %q", errBroken, ran, "mine", a.rows[0])
	}
	return nil
}

// sendForeignService sends the heartbeat of another writer to one control machine.
func (d *deployment) sendForeignService(id string) error {
	d.cluster.mutex.Lock()
	p := d.cluster.servers[d.cluster.primary]
	d.cluster.mutex.Unlock()
	body, err := json.Marshal(map[string]any{
		"service": serviceName + " other " + p.id + "\r\nQUERY " + id + " WRITE 1a4 foreign", "address": p.address, "zone": zoneName(0),
		"version": "v1", "slots": 1, "state": "ready", "cold_left_ms": 0, "db_role": "replica", "sequence": 1, "born": time.Now().UnixMilli(),
	})
	if err != nil {
		return err
	}
	code, text, err := d.call("writer", 0, http.MethodPut, names.ServersPath+"i-00000001", body)
	d.record.add("writer", "heartbeat %s: status %d %q %v", body, code, text, err)
	return err
}
