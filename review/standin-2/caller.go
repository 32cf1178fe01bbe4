package main

import (
	"bufio"
	"fmt"
	"math/rand/v2"
	"net"
	"strconv"
	"strings"
	"sync"
	"time"
)

// request is one operation of a client: a single statement.
type request struct {
	sentAt time.Time
	host   string
	served bool
}

// callers are the clients. Each keeps a session until it ends.
type callers struct {
	fleet    *fleet
	mutex    sync.Mutex
	requests []request
}

const (
	callerCount = 18
	// pauseTime is the mean pause between two operations of a client.
	pauseTime = 60 * time.Millisecond
	// answerTime is how long a client waits for an answer.
	answerTime = 3 * time.Second
	// readyTime is how long a client waits for the answer to START.
	readyTime = 2 * time.Second
	items     = 40
)

// caller is one client.
type caller struct {
	all    *callers
	number int
	random *rand.Rand
	host   string
	conn   net.Conn
	reader *bufio.Reader
	last   int
}

func startCallers(f *fleet) *callers {
	all := &callers{fleet: f}
	hosts := []string{"orders", "stock", "billets", "billets", "billets", "billets"}
	for n := range callerCount {
		c := &caller{all: all, number: n, random: rand.New(rand.NewPCG(uint64(n), 1)), host: hosts[n%len(hosts)]}
		f.workers.Add(1)
		go func() {
			defer f.workers.Done()
			c.run()
		}()
	}
	return all
}

func (c *caller) run() {
	for {
		select {
		case <-c.all.fleet.stop:
			c.close()
			return
		case <-time.After(time.Duration(float64(pauseTime) * (0.5 + c.random.Float64()))):
		}
		c.operate()
	}
}

func (c *caller) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}

// operate runs one operation and records its outcome.
func (c *caller) operate() {
	c.last++
	id := fmt.Sprintf("%04x%08x", c.number, c.last)
	text := "READ " + strconv.Itoa(c.random.IntN(items))
	write := c.host == "orders" && c.random.Float64() < 0.35 || c.host == "billets" && c.random.Float64() < 0.12
	if write {
		text = "WRITE " + strconv.Itoa(c.random.IntN(items)) + " " + id
	}
	sentAt := time.Now()
	outcome, to := c.send(id, text)
	served := strings.HasPrefix(outcome, "COMPLETE ") && outcome != "COMPLETE -"
	c.all.fleet.record.printf("client %d: %s %s %q at %s: %s (%d ms)", c.number, c.host, id, text, to, outcome, time.Since(sentAt).Milliseconds())
	c.all.mutex.Lock()
	defer c.all.mutex.Unlock()
	c.all.requests = append(c.all.requests, request{sentAt: sentAt, host: c.host, served: served})
}

// send sends a statement on the session, which it opens if there is none.
func (c *caller) send(id, text string) (outcome, to string) {
	if c.conn != nil && c.hasEnded() {
		c.close()
	}
	if c.conn == nil {
		if problem := c.connect(); problem != "" {
			c.close()
			return problem, "-"
		}
	}
	to = c.conn.RemoteAddr().String()
	_ = c.conn.SetDeadline(time.Now().Add(answerTime))
	fmt.Fprintf(c.conn, "QUERY %s %s\r\n", id, text)
	for {
		line, err := c.reader.ReadString('\n')
		if err != nil {
			c.close()
			return "no answer: " + err.Error(), to
		}
		line = strings.TrimSuffix(line, "\r\n")
		switch word, _, _ := strings.Cut(line, " "); word {
		case "COMPLETE", "ERROR":
			outcome = line
		case "READY":
			return outcome, to
		}
	}
}

// hasEnded reports whether the entry has ended the session while it was idle.
func (c *caller) hasEnded() bool {
	_ = c.conn.SetReadDeadline(time.Now().Add(time.Millisecond))
	_, err := c.reader.Peek(1)
	timeout, ok := err.(net.Error)
	return !ok || !timeout.Timeout()
}

func (c *caller) connect() string {
	conn, err := net.DialTimeout("tcp", net.JoinHostPort(c.all.fleet.entryFor(c.random.IntN(1<<20)), strconv.Itoa(callerPort)), time.Second)
	if err != nil {
		return "no connection: " + err.Error()
	}
	c.conn, c.reader = conn, bufio.NewReader(conn)
	_ = conn.SetDeadline(time.Now().Add(readyTime))
	fmt.Fprintf(conn, "START %s u%x\r\n", c.host, c.number)
	line, err := c.reader.ReadString('\n')
	if err != nil || !strings.HasPrefix(line, "READY") {
		return "no session: " + strings.TrimSpace(line)
	}
	return ""
}

// share returns how many requests were sent in a span, and how many of them were
// served.
func (a *callers) share(from, to time.Time) (sent, served int) {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	for _, r := range a.requests {
		if r.sentAt.Before(from) || !r.sentAt.Before(to) {
			continue
		}
		sent++
		if r.served {
			served++
		}
	}
	return sent, served
}

// awaitServed waits until requests are served, and reports whether they are.
func (a *callers) awaitServed() bool {
	const enough = 100
	begin := time.Now()
	for served := 0; served < enough; _, served = a.share(begin, time.Now()) {
		if time.Since(begin) > startTime {
			a.fleet.record.say("nothing was served after the start")
			return false
		}
		time.Sleep(100 * time.Millisecond)
	}
	return true
}
