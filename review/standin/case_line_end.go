package main

import (
	"errors"
	"fmt"
	"time"
)

func init() {
	cases["line-feed"] = playLineFeed
	cases["carriage-return"] = playCarriageReturn
}

// playLineFeed writes data with a line feed in it. The message ends with CR LF, so
// that all behind the item is the data of one write.
func playLineFeed(d *deployment, trouble bool) error {
	separator := " "
	if trouble {
		separator = "\n"
	}
	return d.playWrites(func(inner string) string {
		return "note" + separator + "QUERY " + inner + " WRITE 2b7 smuggled"
	})
}

// playCarriageReturn writes data that ends with a carriage return.
func playCarriageReturn(d *deployment, trouble bool) error {
	return d.playWrites(func(string) string {
		if trouble {
			return "note\r"
		}
		return "note"
	})
}

// playWrites writes once at each entry. The data may contain another id, which no
// client sends as the id of a statement. It checks what the servers ran.
func (d *deployment) playWrites(data func(inner string) string) error {
	if err := d.start(newManifest(1)); err != nil {
		return err
	}
	time.Sleep(stableTime)
	broken := 0
	for entry := range entryCount {
		outer, inner := newID(), newID()
		text := "WRITE 1a4 " + data(inner)
		c, code, err := d.connect(fmt.Sprintf("client-%d", entry+1), entry, databasePrimary, checkKey)
		if err != nil || c == nil {
			return errors.Join(err, fmt.Errorf("no session: %s", code))
		}
		if _, err := c.query(outer, text); err != nil {
			return err
		}
		// Whatever else runs has run by then.
		time.Sleep(300 * time.Millisecond)
		c.close()
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
	}
	if broken > 0 {
		return fmt.Errorf("%w: UNASKED: %d statements ran that no client sent or with changed text", errBroken, broken)
	}
	return nil
}
