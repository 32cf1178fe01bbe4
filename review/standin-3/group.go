package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Times of the instances, as on the users' small sites.
const (
	heartbeatInterval = 1200 * time.Millisecond
	promoteDelay      = 600 * time.Millisecond
	replicationTick   = 3 * time.Millisecond
	// statementTime is how long a statement occupies a slot.
	statementTime = 3 * time.Millisecond
	maxConns      = 22
)

// commit is one entry of a log.
type commit struct {
	term   int
	id     string
	writes map[string]string
}

// group is a service: its instances, its log and the platform's view of it.
type group struct {
	record  *record
	service string
	sync    int

	mutex     sync.Mutex
	changed   *sync.Cond
	instances []*instance
	primary   *instance
	term      int
	// highestFence is the highest fence number seen, holders who used each.
	highestFence uint64
	holders      map[uint64]string
	// acked holds the commits that clients got a success for.
	acked map[string]bool
	// sent holds the statements that clients have sent.
	sent       map[string]string
	promotions []string
	// answerDelay is how long the platform takes for its answers.
	answerDelay time.Duration
	// platformDown is set while the platform carries out and answers nothing.
	platformDown bool
}

func newGroup(r *record) *group {
	g := &group{record: r, service: "ledger", term: 1, holders: map[uint64]string{}, acked: map[string]bool{}, sent: map[string]string{}}
	g.changed = sync.NewCond(&g.mutex)
	return g
}

// addInstance adds an instance that listens at an address. It is the primary if it
// is the first one.
func (g *group) addInstance(f *fleet, n, zone int) (*instance, error) {
	i := &instance{
		group: g, fleet: f, id: fmt.Sprintf("i-%d", n), zone: zone, address: f.address(f.ip(3, n), f.ports.front),
		born: time.Now().UnixMilli(), term: 1, control: n, conns: map[net.Conn]bool{}, state: "ready",
	}
	if err := i.listen(); err != nil {
		return nil, fmt.Errorf("%w: %w", errNotRun, err)
	}
	g.mutex.Lock()
	g.instances = append(g.instances, i)
	if g.primary == nil {
		g.primary = i
	}
	g.mutex.Unlock()
	f.spawn(i.beat)
	f.spawn(func() {
		<-f.done
		i.end()
	})
	return i, nil
}

// replicate copies the primary's log to the replicas that can receive.
func (g *group) replicate() {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	p := g.primary
	if p == nil || !p.up {
		return
	}
	for _, i := range g.instances {
		if i == p || !i.up || i.deaf {
			continue
		}
		i.term = g.term
		if n := commonLength(i.log, p.log); n < len(i.log) {
			i.log = i.log[:n:n]
		}
		if len(i.log) < len(p.log) {
			i.log = append(i.log, p.log[len(i.log):]...)
			g.changed.Broadcast()
		}
	}
}

func commonLength(a, b []commit) int {
	n := 0
	for n < len(a) && n < len(b) && a[n].id == b[n].id && a[n].term == b[n].term {
		n++
	}
	return n
}

// holdersOf counts the replicas that have received the commit at an index.
func (g *group) holdersOf(index int, id string) int {
	n := 0
	for _, i := range g.instances {
		if i != g.primary && i.up && len(i.log) >= index && i.log[index-1].id == id {
			n++
		}
	}
	return n
}

// servePlatform serves the platform's calls.
func (g *group) servePlatform(f *fleet) error {
	l, err := net.Listen("tcp", f.cloud)
	if err != nil {
		return fmt.Errorf("%w: %w", errNotRun, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", func(w http.ResponseWriter, r *http.Request) {
		var body struct{ Service, ID string }
		fence, err := strconv.ParseUint(r.Header.Get(nameOf("fence-header")), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&body) != nil || body.Service != g.service {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		g.mutex.Lock()
		delay, isDown := g.answerDelay, g.platformDown
		g.mutex.Unlock()
		if isDown {
			g.record.printf("the platform is down: no promotion of %s, fence %d", body.ID, fence)
			// The caller's connection ends without an answer.
			panic(http.ErrAbortHandler)
		}
		time.Sleep(delay)
		code := g.promote(body.ID, fence, r.Header.Get(nameOf("holder-header")))
		g.record.printf("promotion of %s, fence %d, holder %s: %d", body.ID, fence, r.Header.Get(nameOf("holder-header")), code)
		w.WriteHeader(code)
	})
	server := &http.Server{Handler: mux}
	go func() { _ = server.Serve(l) }()
	f.spawn(func() {
		<-f.done
		_ = server.Close()
	})
	return nil
}

func (g *group) setPlatformDown(down bool) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.platformDown = down
}

func (g *group) promote(id string, fence uint64, holder string) int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	if fence < g.highestFence {
		return http.StatusConflict
	}
	if h := g.holders[fence]; h != "" && h != holder {
		go g.record.brokenRule("ONE: fence %d was used by %s and %s", fence, h, holder)
	}
	g.highestFence, g.holders[fence] = fence, holder
	for _, i := range g.instances {
		if i.id != id || !i.up {
			continue
		}
		if i != g.primary && !i.isPromoting {
			i.isPromoting = true
			time.AfterFunc(promoteDelay, func() { g.lead(i) })
		}
		return http.StatusOK
	}
	return http.StatusConflict
}

// lead makes an instance the primary of the next term with what it had received.
func (g *group) lead(i *instance) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	i.isPromoting = false
	if !i.up || i == g.primary {
		return
	}
	g.term++
	old := g.primary
	g.primary, i.term, i.deaf = i, g.term, false
	g.promotions = append(g.promotions, i.id)
	g.record.printf("%s leads term %d with %d commits; %s had %d", i.id, g.term, len(i.log), old.id, len(old.log))
	held := map[string]bool{}
	for _, c := range i.log {
		held[c.id] = true
	}
	lost := 0
	for id := range g.acked {
		if !held[id] {
			lost++
			if lost <= 3 {
				g.record.printf("acknowledged commit %s is not in the log of %s", id, i.id)
			}
			delete(g.acked, id)
		}
	}
	if g.sync > 0 && lost > 0 {
		go g.record.brokenRule("LOST: %d acknowledged commits are not in the log of the promoted %s", lost, i.id)
	}
	for _, x := range g.instances {
		x.failTransactions()
	}
	g.changed.Broadcast()
}

// recordSent records a statement before a client sends it.
func (g *group) recordSent(id, text string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.sent[id] = text
}

// recordAck records that a client got the success of a commit.
func (g *group) recordAck(id string) {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	g.acked[id] = true
}

func (g *group) ackedCount() int {
	g.mutex.Lock()
	defer g.mutex.Unlock()
	return len(g.acked)
}

// manifest returns a manifest with three databases.
func (g *group) manifest(version int) string {
	route := func(host, kind string, age int) string {
		return fmt.Sprintf(nameOf("route"), host, host, kind, g.service, age)
	}
	return fmt.Sprintf(nameOf("manifest"),
		version, route("dbp", "primary", 0), route("dbb", "bounded_staleness", 1500), route("dbo", "read_own_writes", 2500), g.service, maxConns, g.sync)
}
