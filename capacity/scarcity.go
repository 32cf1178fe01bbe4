package capacity

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Times of the scarcity model.
const (
	scarceLatency      = time.Millisecond
	scarceConnectTime  = 12 * time.Millisecond
	scarceTimeout      = time.Second
	scarceWarmUp       = 2 * time.Second
	scarceCalmLength   = 20 * time.Second
	scarceLeaseLength  = 2 * time.Second
	scarceGrantLength  = 10 * time.Second
	scarceConnections  = 20
	scarceControl      = catalog.VMID("control")
	scarceTerm         = 1
	scarceFloor        = 1000
	scarceReplicaFloor = 10
)

// scarceCalmLoad is the load before the overload, in capacities of the primary.
const scarceCalmLoad = 0.5

// ScarcityKind is a kind of reads.
type ScarcityKind struct {
	Database string
	// Work is how long a read occupies a slot on the mean.
	Work      time.Duration
	Objective time.Duration
	// Share is the kind's part of the offered work. The shares sum up to one.
	Share float64
}

// DefaultScarcityKinds returns a kind of short reads, which ask for most of the
// work, and one of long reads.
func DefaultScarcityKinds() []ScarcityKind {
	return []ScarcityKind{
		{Database: "short", Work: 24 * time.Millisecond, Objective: 400 * time.Millisecond, Share: 0.75},
		{Database: "long", Work: 40 * time.Millisecond, Objective: 600 * time.Millisecond, Share: 0.25},
	}
}

// ScarcityLoad describes a service whose replicas are all far behind, so that all
// its reads come to one primary. Each site has the same load, whatever the number
// of its entries.
type ScarcityLoad struct {
	// EntriesPerSite holds the number of entries of each site.
	EntriesPerSite []int
	Slots          int
	// Load is the offered work in capacities of the primary.
	Load  float64
	Kinds []ScarcityKind
	// LostPercent is the proportion of answers that the primary loses.
	LostPercent int
	Length      time.Duration
	Seed        uint64
}

// ScarcityRow counts the reads of one kind and site.
type ScarcityRow struct {
	Site     int
	Database string
	// InTime counts the reads that were done within their objective, RefusedSoon
	// those refused within a quarter of it.
	Offered, InTime, RefusedSoon int
}

// Scarcity is the result of a play of the scarcity model.
type Scarcity struct {
	Rows []ScarcityRow
	// BestInTime is how many reads a primary could serve that runs nothing but the
	// cheapest reads and never idles.
	BestInTime int
}

// Site adds up the rows of a site.
func (s Scarcity) Site(site int) (sum ScarcityRow) {
	return s.sum(func(r ScarcityRow) bool { return r.Site == site })
}

// Kind adds up the rows of a kind of reads.
func (s Scarcity) Kind(database string) ScarcityRow {
	return s.sum(func(r ScarcityRow) bool { return r.Database == database })
}

// Total adds up all rows.
func (s Scarcity) Total() ScarcityRow {
	return s.sum(func(ScarcityRow) bool { return true })
}

func (s Scarcity) sum(include func(ScarcityRow) bool) (sum ScarcityRow) {
	for _, r := range s.Rows {
		if include(r) {
			sum.Offered, sum.InTime, sum.RefusedSoon = sum.Offered+r.Offered, sum.InTime+r.InTime, sum.RefusedSoon+r.RefusedSoon
		}
	}
	return sum
}

// scarceEntry is an entry of the scarcity model.
type scarceEntry struct {
	vm      catalog.VMID
	site    int
	step    func(node.Event) []node.Effect
	conns   map[catalog.ConnID]catalog.InstanceID
	runs    map[catalog.ConnID]catalog.RequestID
	timerAt catalog.Instant
}

// scarceRead is a read of a caller. It has an id of its own at each entry.
type scarceRead struct {
	kind      ScarcityKind
	row       *ScarcityRow
	arrivedAt catalog.Instant
	// origin and originRequest are the entry that forwarded the read, if any, and
	// the read's id there.
	origin        *scarceEntry
	originRequest catalog.RequestID
}

// scarcitySim plays the entries of one service in virtual time, with one primary
// and a control that always answers.
type scarcitySim struct {
	scheduler
	load     ScarcityLoad
	random   *rand.Rand
	entries  []*scarceEntry
	byVM     map[catalog.VMID]*scarceEntry
	bySite   [][]catalog.VMID
	reads    map[catalog.RequestID]*scarceRead
	rows     []*ScarcityRow
	lastRead catalog.RequestID
	// slotFreeAt is when each slot of the primary will have run what was sent to
	// it.
	slotFreeAt []catalog.Instant
}

// PlayScarcity plays the entries of a service whose primary is scarce.
func PlayScarcity(l ScarcityLoad) Scarcity {
	w := &scarcitySim{
		load: l, random: rand.New(rand.NewPCG(l.Seed, 1)), byVM: map[catalog.VMID]*scarceEntry{},
		reads: map[catalog.RequestID]*scarceRead{}, slotFreeAt: make([]catalog.Instant, l.Slots),
	}
	w.now = catalog.Instant(time.Minute)
	w.start()
	w.advance(scarceWarmUp)
	w.offer(scarceCalmLoad, scarceCalmLength)
	w.rows = nil
	w.offer(l.Load, l.Length)
	w.advance(scarceTimeout)
	out := Scarcity{BestInTime: l.bestInTime()}
	for _, r := range w.rows {
		out.Rows = append(out.Rows, *r)
	}
	return out
}

// offer plays reads at a load for some time.
func (w *scarcitySim) offer(load float64, length time.Duration) {
	for site := range w.load.EntriesPerSite {
		for _, k := range w.load.Kinds {
			row := &ScarcityRow{Site: site, Database: k.Database}
			w.rows = append(w.rows, row)
			w.arrive(row, k, load, w.now.Add(length))
		}
	}
	w.advance(length)
}

// bestInTime returns how many reads the slots can run if the cheapest go first.
func (l ScarcityLoad) bestInTime() int {
	left, reads := 1.0, 0.0
	kinds := slices.SortedFunc(slices.Values(l.Kinds), func(a, b ScarcityKind) int { return int(a.Work - b.Work) })
	for _, k := range kinds {
		part := min(k.Share*l.Load, left)
		left -= part
		reads += part * float64(l.Slots) * float64(l.Length) / float64(k.Work)
	}
	return int(reads)
}

func (w *scarcitySim) start() {
	for site, count := range w.load.EntriesPerSite {
		var vms []catalog.VMID
		for n := range count {
			vms = append(vms, catalog.VMID(fmt.Sprintf("entry-%d-%03d", site, n)))
		}
		w.bySite = append(w.bySite, vms)
		for _, vm := range vms {
			e := node.NewEntry(node.EntryOptions{
				VM: vm, Site: siteID(site), Incarnation: 1, Seed: w.random.Uint64(), Timings: catalog.HostedTimings(modelDrainTimeout),
				Control: []catalog.VMID{scarceControl}, UpstreamsFromControl: true,
			})
			v := &scarceEntry{vm: vm, site: site, step: e.Step, conns: map[catalog.ConnID]catalog.InstanceID{}, runs: map[catalog.ConnID]catalog.RequestID{}}
			w.byVM[vm], w.entries = v, append(w.entries, v)
			w.feed(v, node.TimerFired{})
		}
	}
}

// arrive schedules the next read of one kind and site.
func (w *scarcitySim) arrive(row *ScarcityRow, k ScarcityKind, load float64, until catalog.Instant) {
	interval := float64(k.Work) * float64(len(w.load.EntriesPerSite)) / (load * k.Share * float64(w.load.Slots))
	w.schedule(time.Duration(w.random.ExpFloat64()*interval), func() {
		if !w.now.Before(until) {
			return
		}
		row.Offered++
		vms := w.bySite[row.Site]
		w.submit(w.byVM[vms[w.random.IntN(len(vms))]], &scarceRead{kind: k, row: row, arrivedAt: w.now})
		w.arrive(row, k, load, until)
	})
}

func (w *scarcitySim) submit(v *scarceEntry, r *scarceRead) {
	w.lastRead++
	w.reads[w.lastRead] = r
	w.feed(v, node.RequestArrived{
		Request: w.lastRead, Service: serviceID(0), Database: r.kind.Database, Kind: node.KindRead, Class: node.ClassBrowse,
		Objective: r.kind.Objective, Deadline: r.arrivedAt.Add(scarceTimeout), Waited: w.now.Sub(r.arrivedAt),
		Floor: catalog.Position{Term: scarceTerm, Offset: scarceFloor}, Forwarded: r.origin != nil,
	})
}

func (w *scarcitySim) feed(v *scarceEntry, in node.Input) {
	for _, x := range v.step(node.Event{Now: w.now, Input: in}) {
		w.execute(v, x)
	}
}

func (w *scarcitySim) later(v *scarceEntry, d time.Duration, in node.Input) {
	w.schedule(d, func() { w.feed(v, in) })
}

func (w *scarcitySim) execute(v *scarceEntry, x node.Effect) {
	switch e := x.(type) {
	case node.SetTimer:
		v.timerAt = e.At
		w.schedule(max(e.At.Sub(w.now), 0), func() {
			if v.timerAt == e.At {
				w.feed(v, node.TimerFired{})
			}
		})
	case node.SendMessage:
		if r := e.Message.Report; r != nil {
			w.later(v, 2*scarceLatency, node.MessageReceived{From: scarceControl, Message: wire.Message{Answer: w.answer(v, r)}})
		}
	case node.OpenConn:
		v.conns[e.Conn] = e.Instance
		w.later(v, scarceConnectTime, node.ConnOpened{Conn: e.Conn})
	case node.CloseConn:
		if id, isRunning := v.runs[e.Conn]; isRunning {
			delete(v.runs, e.Conn)
			w.later(v, 0, node.RequestDone{Request: id, Conn: e.Conn, Outcome: node.OutcomeLost, PositionQueriedAt: w.now})
		}
		w.later(v, 0, node.ConnLost{Conn: e.Conn})
	case node.Probe:
		w.later(v, scarceLatency, node.ProbeDone{Conn: e.Conn, Evidence: wire.EvidenceAlive, Position: w.positionOf(v.conns[e.Conn]), SentAt: w.now})
	case node.RunRequest:
		w.run(v, e)
	case node.ForwardRequest:
		r := *w.reads[e.Request]
		r.origin, r.originRequest = v, e.Request
		w.schedule(scarceLatency, func() { w.submit(w.byVM[e.To], &r) })
	case node.AnswerRequest:
		w.finish(e)
	}
}

func (w *scarcitySim) positionOf(i catalog.InstanceID) catalog.Position {
	if i == instanceID(0, 0) {
		return catalog.Position{Term: scarceTerm, Offset: scarceFloor}
	}
	return catalog.Position{Term: scarceTerm, Offset: scarceReplicaFloor}
}

// run runs a read: at the primary in a slot, in the order of arrival; at a replica
// in vain.
func (w *scarcitySim) run(v *scarceEntry, e node.RunRequest) {
	r := w.reads[e.Request]
	done := node.RequestDone{Request: e.Request, Conn: e.Conn, Outcome: node.OutcomeBehind, PositionQueriedAt: w.now, Position: w.positionOf(v.conns[e.Conn]), Reusable: true}
	until := w.now.Add(2 * scarceLatency)
	if v.conns[e.Conn] == instanceID(0, 0) {
		slot := 0
		for n := range w.slotFreeAt {
			if w.slotFreeAt[n].Before(w.slotFreeAt[slot]) {
				slot = n
			}
		}
		work := time.Duration(float64(r.kind.Work) * (0.5 + w.random.Float64()))
		w.slotFreeAt[slot] = max(w.slotFreeAt[slot], w.now).Add(work)
		until, done.Outcome = w.slotFreeAt[slot].Add(2*scarceLatency), node.OutcomeCompleted
		if w.random.IntN(100) < w.load.LostPercent {
			until, done.Outcome = max(r.arrivedAt.Add(scarceTimeout), until), node.OutcomeLost
		}
	}
	v.runs[e.Conn] = e.Request
	w.schedule(until.Sub(w.now), func() {
		if v.runs[e.Conn] == e.Request {
			delete(v.runs, e.Conn)
			w.feed(v, done)
		}
	})
}

// finish counts the answer to a read, and passes it on to the entry that forwarded
// the read.
func (w *scarcitySim) finish(a node.AnswerRequest) {
	r := w.reads[a.Request]
	delete(w.reads, a.Request)
	took := w.now.Sub(r.arrivedAt)
	switch {
	case a.Verdict == node.VerdictDone && took <= r.kind.Objective:
		r.row.InTime++
	case a.Verdict == node.VerdictNotRun && took <= r.kind.Objective/4:
		r.row.RefusedSoon++
	}
	if r.origin != nil {
		delete(w.reads, r.originRequest)
		w.later(r.origin, scarceLatency, node.ForwardDone{Request: r.originRequest, Outcome: node.ForwardAnswered})
	}
}

// answer returns control's answer to a report.
func (w *scarcitySim) answer(v *scarceEntry, r *wire.Report) *wire.Answer {
	a := &wire.Answer{
		Leader: scarceControl, Sequence: r.Sequence, Version: 1, Full: true,
		Services:      []catalog.Service{{ID: serviceID(0), Ack: catalog.AckPrimary, Instances: 3, Limits: catalog.Limits{Connections: scarceConnections, Slots: w.load.Slots}}},
		Leases:        []wire.Lease{{Primary: catalog.Primary{Service: serviceID(0), Epoch: 1, Instance: instanceID(0, 0), Term: scarceTerm, Ready: true}, Length: scarceLeaseLength}},
		UpstreamsMark: wire.UpstreamsMark{Leader: scarceControl, Revision: 1},
		Entries:       w.bySite[v.site], SiteCount: len(w.bySite),
	}
	for _, k := range w.load.Kinds {
		a.Routes = append(a.Routes, catalog.Route{RouteKey: catalog.RouteKey{Database: k.Database}, Service: serviceID(0), Timeout: scarceTimeout})
	}
	for n := range 3 {
		u := newAnnouncement(0, n, 1)
		u.Slots = w.load.Slots
		a.Upstreams = append(a.Upstreams, u)
	}
	for _, d := range r.Demands {
		a.Grants = append(a.Grants, wire.Grant{Service: serviceID(0), Instance: d.Instance, Connections: 2 * w.load.Slots, Length: scarceGrantLength})
	}
	return a
}
