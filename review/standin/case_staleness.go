package main

import (
	"errors"
	"fmt"
	"strconv"
	"time"
)

func init() { cases["staleness"] = playStaleness }

const (
	databaseStrict = "strict"
	// readDelay is the time between the ack of a write and the read of it. It is many
	// times as long as replication takes without trouble.
	readDelay = 100 * time.Millisecond
	// lagFactor is how many times as late replicas apply the log, and lagTime how
	// long.
	lagFactor = 50
	lagTime   = 5 * time.Second
)

// playStaleness reads at a route whose highest staleness is 0 what was acknowledged
// before, while replicas fall behind.
func playStaleness(d *deployment, trouble bool) error {
	m := newManifest(1, newRoute(databaseStrict, "bounded_staleness"))
	m.Routes[len(m.Routes)-1][names.StalenessField] = 0
	if err := d.start(m); err != nil {
		return err
	}
	time.Sleep(stableTime)
	if trouble {
		d.cluster.setLag(lagFactor * replicationLag)
		defer d.cluster.setLag(replicationLag)
	}
	stale, reads := 0, 0
	for end := time.Now().Add(lagTime); time.Now().Before(end); reads++ {
		isStale, err := d.readsStale(reads)
		if err != nil {
			return err
		}
		if isStale {
			stale++
		}
	}
	d.record.add("check", "%d of %d reads lacked a commit that was acknowledged %s before", stale, reads, readDelay)
	if stale > 0 {
		return fmt.Errorf("%w: STALE: %d of %d reads with %s 0 lacked a commit that was acknowledged %s before", errBroken, stale, reads, names.StalenessField, readDelay)
	}
	return nil
}

// readsStale writes a number at one entry, reads it at another one and reports
// whether the read shows an older one.
func (d *deployment) readsStale(number int) (bool, error) {
	writer, code, err := d.connect("writer", number, databasePrimary, checkKey)
	if err != nil || writer == nil {
		return false, errors.Join(err, fmt.Errorf("no session: %s", code))
	}
	defer writer.close()
	a, err := writer.query(newID(), "WRITE 3c1 "+strconv.Itoa(number))
	if err != nil || a.code != "" {
		return false, errors.Join(err, fmt.Errorf("the write failed: %s", a.code))
	}
	time.Sleep(readDelay)
	reader, code, err := d.connect("reader", number+1, databaseStrict, checkKey)
	if err != nil || reader == nil {
		return false, errors.Join(err, fmt.Errorf("no session: %s", code))
	}
	defer reader.close()
	a, err = reader.query(newID(), "READ 3c1")
	if err != nil || a.code != "" || len(a.rows) == 0 {
		return false, err
	}
	row, err := strconv.Atoi(a.rows[0])
	return err != nil || row < number, nil
}

// setLag sets how long replicas take to apply what the primary commits.
func (c *cluster) setLag(lag time.Duration) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	c.lag = lag
	c.deployment.record.add("servers", "replicas apply the log %s late", lag)
}
