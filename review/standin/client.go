package main

import (
	"bufio"
	"fmt"
	"net"
	"strings"
	"sync/atomic"
	"time"
)

// checkKey is the key of clients that need none, and of those that have no limit.
const checkKey = "u3f1"

// Time limits of clients.
const (
	startTimeout = 2 * time.Second
	answerLimit  = 3 * time.Second
)

// clientSession is a client's connection to an entry.
type clientSession struct {
	deployment *deployment
	who        string
	conn       net.Conn
	reader     *bufio.Reader
}

// answer is the answer to a message: the rows, the digest, the error's code, and
// the state and position at the end.
type answer struct {
	rows   []string
	digest string
	code   string
	text   string
	state  string
}

var lastID atomic.Int64

// newID returns an id that no other statement has.
func newID() string {
	return fmt.Sprintf("%016x", 0x5c0e7a2100000000+lastID.Add(1))
}

// connect opens a session. The code is that of the error with which the entry
// refused it, if any.
func (d *deployment) connect(who string, entry int, database, key string) (*clientSession, string, error) {
	conn, err := net.DialTimeout("tcp", d.frontAddress(entry), time.Second)
	if err != nil {
		return nil, "", err
	}
	c := &clientSession{deployment: d, who: who, conn: conn, reader: bufio.NewReader(conn)}
	_ = conn.SetDeadline(time.Now().Add(startTimeout))
	if _, err = fmt.Fprintf(conn, "START %s %s\r\n", database, key); err == nil {
		var a answer
		a, err = c.receive()
		d.record.add(who, "START %s at front-%d: %s %s %s", database, entry%entryCount+1, a.code, a.text, a.state)
		if err == nil && a.code == "" {
			return c, "", nil
		}
		if a.code != "" {
			_ = conn.Close()
			return nil, a.code, nil
		}
	}
	_ = conn.Close()
	return nil, "", err
}

func (c *clientSession) close() {
	_, _ = c.conn.Write([]byte("BYE\r\n"))
	_ = c.conn.Close()
}

// receive reads one answer up to its READY. An error may stand alone.
func (c *clientSession) receive() (answer, error) {
	var a answer
	for {
		line, err := readMessage(c.reader)
		if err != nil {
			return a, err
		}
		word, rest, _ := strings.Cut(line, " ")
		switch word {
		case "DATAROW":
			a.rows = append(a.rows, rest)
		case "COMPLETE":
			a.digest = rest
		case "ERROR":
			a.code, a.text, _ = strings.Cut(rest, " ")
		case "READY":
			a.state, _, _ = strings.Cut(rest, " ")
			return a, nil
		}
	}
}

// query sends a statement and returns its answer.
func (c *clientSession) query(id, text string) (answer, error) {
	return c.exchange("QUERY "+id+" "+text+"\r\n", id)
}

// exchange sends bytes and returns the next answer.
func (c *clientSession) exchange(message, id string) (answer, error) {
	_ = c.conn.SetDeadline(time.Now().Add(answerLimit))
	c.deployment.record.add(c.who, "sends %q", message)
	if _, err := c.conn.Write([]byte(message)); err != nil {
		return answer{}, err
	}
	a, err := c.receive()
	c.deployment.record.add(c.who, "gets for %s: rows %q digest %q error %q %q state %q %v", id, a.rows, a.digest, a.code, a.text, a.state, err)
	return a, err
}

// awaitService waits until each entry serves a read and a write.
func (d *deployment) awaitService(within time.Duration) error {
	end := time.Now().Add(within)
	for entry := range entryCount {
		for {
			if time.Now().After(end) {
				return fmt.Errorf("front-%d serves nothing", entry+1)
			}
			if d.servesOnce(entry) {
				break
			}
			time.Sleep(100 * time.Millisecond)
		}
	}
	return nil
}

// servesOnce reports whether an entry serves a write and a read.
func (d *deployment) servesOnce(entry int) bool {
	c, _, err := d.connect("check", entry, databaseOwn, checkKey)
	if err != nil || c == nil {
		return false
	}
	defer c.close()
	for _, text := range []string{"WRITE 1a4 ready", "READ 1a4"} {
		if a, err := c.query(newID(), text); err != nil || a.code != "" {
			return false
		}
	}
	return true
}

// load runs reads and writes at each entry, one after the other with a pause, until
// the deployment stops.
func (d *deployment) load(database string, pause time.Duration) {
	for entry := range entryCount {
		who := fmt.Sprintf("%s-%d", database, entry+1)
		d.spawn(func() {
			var c *clientSession
			d.every(pause, func() {
				if c == nil {
					c, _, _ = d.connect(who, entry, database, checkKey)
					if c == nil {
						return
					}
				}
				if _, err := c.query(newID(), "READ 1a4"); err != nil {
					c.close()
					c = nil
				}
			})
			if c != nil {
				c.close()
			}
		})
	}
}
