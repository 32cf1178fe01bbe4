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
	controlVM         = catalog.VMID("control-1")
	networkDelay      = time.Millisecond
	connectDelay      = 10 * time.Millisecond
	announceInterval  = 500 * time.Millisecond
	relayInterval     = time.Second
	statementDuration = time.Millisecond
	requestDeadline   = time.Second
	// requestsPerWrite is the interval between two writes, counted in requests.
	requestsPerWrite = 5
)

// entryLoad is the load that one entry is measured with.
type entryLoad struct {
	Services  int
	Instances int
	// Peers is the number of other entries, to which the measured entry relays
	// the announcements that it receives from upstreams.
	Peers int
	// SitePeers is the number of other entries of the measured entry's site.
	SitePeers int
	// Observers is the number of entries that observe a service, 0 for all.
	Observers int
	// RequestsPerSecond is the rate of requests.
	RequestsPerSecond int
	// OpenTransactions is the number of transactions that begin and stay open.
	OpenTransactions int
	WarmUp           time.Duration
	MeasuredTime     time.Duration
}

// entryTraffic counts messages, probes and requests after the warm-up. Refused
// requests and open transactions are counted during the warm-up too.
type entryTraffic struct {
	reports, reportBytes             int
	answerBytes                      int
	announcements, announcementBytes int
	probes                           int
	doneRequests, refusedRequests    int
	// openTransactions counts the transactions that began and stay open.
	openTransactions int
}

// entrySim drives one entry in virtual time and simulates its upstreams, its peers
// and the control leader.
type entrySim struct {
	scheduler
	load            entryLoad
	entry           *node.Entry
	instanceByConn  map[catalog.ConnID]catalog.InstanceID
	roleByInstance  map[catalog.InstanceID]catalog.Role
	kindByRequest   map[catalog.RequestID]node.RequestKind
	timerGeneration int
	lastRequest     catalog.RequestID
	// events records all inputs of the entry. Those from index measuredFrom on
	// belong to the measured time.
	events       []node.Event
	measuredFrom int
	isWarm       bool
	traffic      entryTraffic
	err          error
}

func newEntry(l entryLoad) *node.Entry {
	o := node.EntryOptions{
		VM: entryID(0), Site: siteID(0), Incarnation: 1 << 40, Seed: 1, Timings: catalog.DefaultTimings(),
		Control: []catalog.VMID{controlVM}, Observers: l.Observers, QueueLimit: 1 << 10,
		Settings: newServices(l.Services, l.Instances), Version: 1,
	}
	for n := range l.Peers {
		o.Peers = append(o.Peers, entryID(n+1))
	}
	for n := range l.SitePeers {
		o.SitePeers = append(o.SitePeers, entryID(n+1))
	}
	return node.NewEntry(o)
}

// simulateEntry runs an entry through its warm-up and the measured time.
func simulateEntry(l entryLoad) (*entrySim, error) {
	r := &entrySim{
		load: l, entry: newEntry(l),
		instanceByConn: map[catalog.ConnID]catalog.InstanceID{},
		roleByInstance: map[catalog.InstanceID]catalog.Role{},
		kindByRequest:  map[catalog.RequestID]node.RequestKind{},
	}
	r.now = catalog.Instant(time.Second)
	for s := range l.Services {
		for i := range l.Instances {
			r.roleByInstance[instanceID(s, i)] = roleOf(i)
			r.schedule(r.staggeredDelay(s*l.Instances+i, announceInterval), func() { r.announceInstance(s, i, 1) })
		}
	}
	r.step(node.TimerFired{})
	if l.OpenTransactions > 0 {
		r.schedule(l.WarmUp/2, r.openTransactions)
	}
	if l.RequestsPerSecond > 0 {
		r.schedule(l.WarmUp/2, r.sendNextRequest)
	}
	r.advance(l.WarmUp)
	r.isWarm, r.measuredFrom = true, len(r.events)
	r.advance(l.MeasuredTime)
	return r, r.err
}

// staggeredDelay returns the n-th delay of a golden-ratio sequence, which spreads
// delays evenly over the interval from 0 to d.
func (r *entrySim) staggeredDelay(n int, d time.Duration) time.Duration {
	const golden = 0.6180339887498949
	x := float64(n) * golden
	return time.Duration((x - float64(int(x))) * float64(d))
}

func (r *entrySim) step(in node.Input) {
	e := node.Event{Now: r.now, Input: in}
	r.events = append(r.events, e)
	for _, x := range r.entry.Step(e) {
		r.handleEffect(x)
	}
}

// scheduleInput passes an input to the entry after a delay.
func (r *entrySim) scheduleInput(d time.Duration, in node.Input) {
	r.schedule(d, func() { r.step(in) })
}

// roundTrip encodes a message and decodes it again. It returns the decoded message
// and the size of the frame in bytes, and keeps an error in r.err.
func (r *entrySim) roundTrip(m wire.Message) (wire.Message, int) {
	data, err := link.Encode(m)
	if err != nil {
		r.err = errors.Trace(err)
		return m, 0
	}
	out, err := link.Decode(data)
	if err != nil {
		r.err = errors.Trace(err)
	}
	return out, len(data)
}

// announceInstance passes an instance's announcements to the entry at a fixed
// interval. Instance 0 announces itself to the entry; peers relay the
// announcements of the other instances.
func (r *entrySim) announceInstance(service, instance int, sequence uint64) {
	every := announceInterval
	if instance > 0 {
		every = relayInterval
	}
	r.schedule(every, func() { r.announceInstance(service, instance, sequence+1) })
	a := newAnnouncement(service, instance, sequence)
	m, _ := r.roundTrip(wire.Message{Announcement: &a})
	if instance == 0 {
		r.step(node.AnnouncementReceived{Announcement: *m.Announcement})
		return
	}
	r.step(node.MessageReceived{From: entryID(instance), Message: m})
}

// openTransactions begins the transactions that stay open.
func (r *entrySim) openTransactions() {
	for n := range r.load.OpenTransactions {
		r.submitRequest(n%r.load.Services, node.KindBegin)
	}
}

// sendNextRequest sends a request and schedules the next one, at an even rate.
func (r *entrySim) sendNextRequest() {
	r.schedule(time.Second/time.Duration(r.load.RequestsPerSecond), r.sendNextRequest)
	n := int(r.lastRequest)
	kind := node.KindRead
	if n%requestsPerWrite == 0 {
		kind = node.KindWrite
	}
	r.submitRequest(n%r.load.Services, kind)
}

func (r *entrySim) submitRequest(service int, kind node.RequestKind) {
	r.lastRequest++
	r.kindByRequest[r.lastRequest] = kind
	r.step(node.RequestArrived{
		Request: r.lastRequest, Service: serviceID(service), Kind: kind, Class: node.ClassNormal,
		Deadline: r.now.Add(requestDeadline),
	})
}
