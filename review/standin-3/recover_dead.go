package main

import (
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"
)

// Times of the case, as the users' pages and the bench give them: recoveryTime is
// `recovery_s`, recoveryCheck how long the bench goes on after it.
const (
	recoveryTime  = 12 * time.Second
	recoveryCheck = 2 * time.Second
	// servedPart is the part of the requests that must be served.
	servedPart = 0.25
	// forgottenAfter is longer than control takes a silent replica into account.
	forgottenAfter = 18 * time.Second
)

// outcomes counts requests by when they were sent.
type outcomes struct {
	mutex  sync.Mutex
	sentAt []time.Time
	served []bool
}

func (o *outcomes) add(at time.Time, served bool) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	o.sentAt, o.served = append(o.sentAt, at), append(o.served, served)
}

// share returns how many requests were sent in a time, and how many of them were
// served.
func (o *outcomes) share(from, to time.Time) (sent, served int) {
	o.mutex.Lock()
	defer o.mutex.Unlock()
	for n, at := range o.sentAt {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		sent++
		if o.served[n] {
			served++
		}
	}
	return sent, served
}

// steadyLoad runs clients that each send a request every 100 ms, the kinds of
// requests in turn.
func (w *world) steadyLoad(clients int, o *outcomes) {
	for n := range clients {
		w.fleet.spawn(func() {
			random := rand.New(rand.NewPCG(2, uint64(n)))
			database := []string{"dbp", "dbo", "dbb"}[n%3]
			var s *session
			count := 0
			w.fleet.every(100*time.Millisecond, func() {
				count++
				at := time.Now()
				o.add(at, w.steadyRequest(&s, random, database, n, count))
			})
		})
	}
}

// steadyRequest sends one request and reports whether it was served.
func (w *world) steadyRequest(s **session, random *rand.Rand, database string, client, count int) bool {
	if *s == nil {
		front := max(w.fleet.readyFront(random.IntN(frontCount)), 0)
		opened, err := w.fleet.open(front, database)
		if err != nil {
			return false
		}
		*s = opened
	}
	id, text := newID(), fmt.Sprintf("READ item-%d", client)
	if database == "dbp" && count%3 == 0 {
		text = fmt.Sprintf("WRITE item-%d v%d", client, count)
	}
	w.group.recordSent(id, text)
	a, err := (*s).query(id, text)
	w.record.printf("front-%d %s %s %s: %s %s %v", (*s).front, database, id, text, a.digest, a.code, err)
	if err != nil || a.code != "" {
		(*s).conn.Close()
		*s = nil
		return false
	}
	if text[0] == 'W' {
		w.group.recordAck(id)
	}
	return true
}

// playRecoverDead: a replica that crashed and came back under another id is long
// forgotten when, right after a manifest was acknowledged, the primary is lost for
// good and all processes of the system are killed.
func playRecoverDead(w *world) error {
	w.withoutLoad = true
	if err := w.begin(1); err != nil {
		return err
	}
	var o outcomes
	w.steadyLoad(12, &o)
	time.Sleep(3 * time.Second)
	g := w.group
	primary, replica := g.instances[0], g.instances[2]
	replica.crash()
	time.Sleep(2 * time.Second)
	if err := replica.restartAs("i-7"); err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	time.Sleep(forgottenAfter)
	before := time.Now()
	if sent, served := o.share(before.Add(-2*time.Second), before); float64(served) < servedPart*float64(sent) || sent == 0 {
		return fmt.Errorf("%w: %d of %d requests were served before the fault", errNotRun, served, sent)
	}
	if w.trouble {
		if !w.fleet.putManifest(g.manifest(2), 5*time.Second) {
			return fmt.Errorf("%w: the last manifest was not acknowledged", errNotRun)
		}
		primary.crash()
		for _, p := range w.fleet.all() {
			w.fleet.signal(p, syscall.SIGKILL)
		}
	}
	back := time.Now().Add(2 * restartDelay)
	time.Sleep(time.Until(back.Add(recoveryTime + recoveryCheck)))
	w.checkRecovery(&o, back)
	return nil
}

// checkRecovery checks the requests that were sent later than recoveryTime after the
// processes were back.
func (w *world) checkRecovery(o *outcomes, back time.Time) {
	sent, served := o.share(back.Add(recoveryTime), back.Add(recoveryTime+recoveryCheck))
	w.record.printf("%d of %d requests were served that were sent %v to %v after the processes were back", served, sent, recoveryTime, recoveryTime+recoveryCheck)
	if float64(served) < servedPart*float64(sent) {
		w.record.brokenRule("RECOVER: %d of %d requests are served later than %v after the final fault", served, sent, recoveryTime)
	}
}
