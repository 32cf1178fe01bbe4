package capacity

import (
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/link"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	controlVM     = catalog.VMID("control-1")
	way           = time.Millisecond
	connectTime   = 10 * time.Millisecond
	announceEvery = 500 * time.Millisecond
	relayEvery    = time.Second
	statementTime = time.Millisecond
	deadline      = time.Second
	// writeShare is which of so many requests is a write.
	writeShare = 5
)

// entryLoad is what one entry is measured with.
type entryLoad struct {
	Services  int
	Instances int
	// Peers are the other entries, told of what is announced here.
	Peers int
	// Neighbours are the other entries of the site, and Observers those that
	// observe a service, 0 for all.
	Neighbours int
	Observers  int
	// Rate is the requests in a second, Held the transactions left open.
	Rate             int
	OpenTransactions int
	Warm             time.Duration
	Span             time.Duration
}

// entryTraffic counts what passed after the warm-up.
type entryTraffic struct {
	reports, reportBytes             int
	answerBytes                      int
	announcements, announcementBytes int
	probes                           int
	done, refused                    int
	// held counts the transactions that were left open.
	held int
}

// entryRun drives one entry against upstreams and a control that it plays.
type entryRun struct {
	agenda
	load    entryLoad
	entry   *node.Entry
	conns   map[catalog.ConnID]catalog.InstanceID
	roles   map[catalog.InstanceID]catalog.Role
	kinds   map[catalog.RequestID]node.RequestKind
	timer   int
	request catalog.RequestID
	// events is the recording; those from measured on count.
	events   []node.Event
	measured int
	warm     bool
	traffic  entryTraffic
	trouble  error
}

func newEntry(l entryLoad) *node.Entry {
	o := node.EntryOptions{
		VM: entryID(0), Site: siteID(0), Incarnation: 1 << 40, Seed: 1, Timings: catalog.DefaultTimings(),
		Control: []catalog.VMID{controlVM}, Observers: l.Observers, QueueLimit: 1 << 10,
		Settings: servicesOf(l.Services, l.Instances), Version: 1,
	}
	for n := range l.Peers {
		o.Peers = append(o.Peers, entryID(n+1))
	}
	for n := range l.Neighbours {
		o.SitePeers = append(o.SitePeers, entryID(n+1))
	}
	return node.NewEntry(o)
}

// runEntry drives an entry through its warm-up and the measured span.
func runEntry(l entryLoad) (*entryRun, error) {
	r := &entryRun{
		load: l, entry: newEntry(l),
		conns: map[catalog.ConnID]catalog.InstanceID{},
		roles: map[catalog.InstanceID]catalog.Role{},
		kinds: map[catalog.RequestID]node.RequestKind{},
	}
	r.now = catalog.Instant(time.Second)
	for s := range l.Services {
		for i := range l.Instances {
			r.roles[instanceID(s, i)] = roleOf(i)
			r.after(r.spread(s*l.Instances+i, announceEvery), func() { r.announce(s, i, 1) })
		}
	}
	r.step(node.TimerFired{})
	if l.OpenTransactions > 0 {
		r.after(l.Warm/2, r.hold)
	}
	if l.Rate > 0 {
		r.after(l.Warm/2, r.ask)
	}
	r.run(l.Warm)
	r.warm, r.measured = true, len(r.events)
	r.run(l.Span)
	return r, r.trouble
}

// spread gives the n-th of many a place of its own within a span.
func (r *entryRun) spread(n int, d time.Duration) time.Duration {
	const golden = 0.6180339887498949
	x := float64(n) * golden
	return time.Duration((x - float64(int(x))) * float64(d))
}

func (r *entryRun) step(in node.Input) {
	e := node.Event{Now: r.now, Input: in}
	r.events = append(r.events, e)
	for _, x := range r.entry.Step(e) {
		r.effect(x)
	}
}

// stepAfter hands the entry an input later.
func (r *entryRun) stepAfter(d time.Duration, in node.Input) {
	r.after(d, func() { r.step(in) })
}

// pass encodes a message and decodes it again, and returns the frame's size.
func (r *entryRun) pass(m wire.Message) (wire.Message, int) {
	data, err := link.Encode(m)
	if err != nil {
		r.trouble = errors.Trace(err)
		return m, 0
	}
	out, err := link.Decode(data)
	if err != nil {
		r.trouble = errors.Trace(err)
	}
	return out, len(data)
}

// announce plays an upstream of the own site, or a peer that relays one.
func (r *entryRun) announce(service, instance int, sequence uint64) {
	every := announceEvery
	if instance > 0 {
		every = relayEvery
	}
	r.after(every, func() { r.announce(service, instance, sequence+1) })
	a := announcementOf(service, instance, sequence)
	m, _ := r.pass(wire.Message{Announcement: &a})
	if instance == 0 {
		r.step(node.AnnouncementReceived{Announcement: *m.Announcement})
		return
	}
	r.step(node.MessageReceived{From: entryID(instance), Message: m})
}

// hold begins transactions that stay open.
func (r *entryRun) hold() {
	for n := range r.load.OpenTransactions {
		r.arrive(n%r.load.Services, node.KindBegin)
	}
}

// ask sends requests at an even rate.
func (r *entryRun) ask() {
	r.after(time.Second/time.Duration(r.load.Rate), r.ask)
	n := int(r.request)
	kind := node.KindRead
	if n%writeShare == 0 {
		kind = node.KindWrite
	}
	r.arrive(n%r.load.Services, kind)
}

func (r *entryRun) arrive(service int, kind node.RequestKind) {
	r.request++
	r.kinds[r.request] = kind
	r.step(node.RequestArrived{
		Request: r.request, Service: serviceID(service), Kind: kind, Class: node.ClassNormal,
		Deadline: r.now.Add(deadline),
	})
}
