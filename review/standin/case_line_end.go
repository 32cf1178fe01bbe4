package main

import (
	"errors"
	"fmt"
	"time"
)

func init() { cases["line-end"] = playLineEnd }

// playLineEnd writes data that holds a line feed, and data that ends with a carriage
// return. The message ends with CR LF, so that all behind the item is the data of one
// write.
func playLineEnd(d *deployment, trouble bool) error {
	separator, end := " ", ""
	if trouble {
		separator, end = "\n", "\r"
	}
	return d.playWrites(
		func(inner string) string { return "note" + separator + "QUERY " + inner + " WRITE 2b7 smuggled" },
		func(string) string { return "note" + end },
	)
}

// playWrites writes each of the data once at each entry, and checks what the servers
// ran. The data may contain another id, which no client sends as the id of a
// statement.
func (d *deployment) playWrites(data ...func(inner string) string) error {
	if err := d.start(newManifest(1)); err != nil {
		return err
	}
	time.Sleep(stableTime)
	broken := 0
	for entry := range entryCount {
		for _, x := range data {
			n, err := d.writeAndCheck(entry, x)
			if err != nil {
				return err
			}
			broken += n
		}
	}
	if broken > 0 {
		return fmt.Errorf("%w: UNASKED: %d statements ran that no client sent or with changed text", errBroken, broken)
	}
	return nil
}

// writeAndCheck writes once at an entry and returns how many statements ran that no
// client sent or with changed text.
func (d *deployment) writeAndCheck(entry int, data func(inner string) string) (int, error) {
	outer, inner := newID(), newID()
	text := "WRITE 1a4 " + data(inner)
	c, code, err := d.connect(fmt.Sprintf("client-%d", entry+1), entry, databasePrimary, checkKey)
	if err != nil || c == nil {
		return 0, errors.Join(err, fmt.Errorf("no session: %s", code))
	}
	defer c.close()
	if _, err := c.query(outer, text); err != nil {
		return 0, err
	}
	// Whatever else runs has run by then.
	time.Sleep(300 * time.Millisecond)
	broken := 0
	for _, ran := range d.cluster.textsRun(outer) {
		if ran != text {
			d.record.add("check", "%s ran as %q, it was sent as %q", outer, ran, text)
			broken++
		}
	}
	for _, ran := range d.cluster.textsRun(inner) {
		d.record.add("check", "%s, which no client sent, ran as %q", inner, ran)
		broken++
	}
	return broken, nil
}
