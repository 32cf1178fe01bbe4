package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

func init() { cases["version"] = playVersion }

// playVersion sends the first manifest, whose version is 0, and checks that what was
// acknowledged can be read back and is in force.
func playVersion(d *deployment, trouble bool) error {
	version := 1
	if trouble {
		version = 0
	}
	if err := d.startProcesses(); err != nil {
		return err
	}
	m := newManifest(version)
	ackedAt, err := d.apply(m, 20*time.Second)
	if err != nil {
		return err
	}
	// The operator reads back repeatedly, and moves on after a 503.
	time.Sleep(time.Until(ackedAt.Add(2 * configApply)))
	found := false
	for end := time.Now().Add(2 * stableTime); time.Now().Before(end) && !found; time.Sleep(200 * time.Millisecond) {
		for control := range coreCount {
			code, body, err := d.call("operator", control, http.MethodGet, names.ManifestPath, nil)
			d.record.add("operator", "reads from core-%d: status %d, %d bytes, %v", control+1, code, len(body), err)
			var read manifest
			found = found || err == nil && code == http.StatusOK && json.Unmarshal(body, &read) == nil && read.Version >= version
		}
	}
	served := 0
	for entry := range entryCount {
		if d.servesOnce(entry) {
			served++
		}
	}
	d.record.add("check", "version %d is read back: %v; %d of %d entries serve", version, found, served, entryCount)
	if !found {
		return fmt.Errorf("%w: CONFIG: version %d was acknowledged and can't be read back; %d of %d entries serve", errBroken, version, served, entryCount)
	}
	return nil
}
