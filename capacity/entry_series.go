package capacity

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Plan says how much is measured.
type Plan struct {
	// Quick takes fewer and smaller points.
	Quick bool
}

// Sizes that an entry is measured at.
const (
	someServices  = 12
	someInstances = 3
	somePeers     = 8
	steadyRate    = 400
)

// pick returns the points of a series.
func (p Plan) pick(full, quick []int) []int {
	if p.Quick {
		return quick
	}
	return full
}

func (p Plan) span(d time.Duration) time.Duration {
	if p.Quick {
		return d / 2
	}
	return d
}

func (p Plan) load() entryLoad {
	return entryLoad{
		Services: someServices, Instances: someInstances, Peers: somePeers,
		Warm: 1500 * time.Millisecond, Span: p.span(time.Second),
	}
}

// entryRows measures an entry.
func (p Plan) entryRows(rows *Rows) error {
	steps := []func(*Rows) error{
		p.entryServices, p.entryInstances, p.entryObservers, p.entryPeers,
		p.entryRequests, p.entryRequestServices, p.entryHeld,
	}
	for _, s := range steps {
		if err := s(rows); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// entryCosts adds what an idle entry costs at one point.
func entryCosts(s series, x float64, l entryLoad) error {
	r, err := runEntry(l)
	if err != nil {
		return errors.Trace(err)
	}
	t, seconds := r.traffic, l.Span.Seconds()
	s.add("report", "bytes", x, float64(t.reportBytes)/float64(max(t.reports, 1)))
	s.add("reports", "per s", x, float64(t.reports)/seconds)
	s.add("answer", "bytes", x, float64(t.answerBytes)/float64(max(t.reports, 1)))
	s.add("announcements sent", "bytes/s", x, float64(t.announcementBytes)/seconds)
	s.add("probes", "per s", x, float64(t.probes)/seconds)
	steps := len(r.events) - r.measured
	s.add("steps", "per s", x, float64(steps)/seconds)
	used := r.replay()
	s.add("step", "µs", x, micros(used)/float64(max(steps, 1)))
	s.add("processor", "% of a core", x, percentOfCore(used, l.Span))
	s.add("heap", "bytes", x, r.heap())
	return nil
}

func micros(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1e3
}

func (p Plan) entryServices(rows *Rows) error {
	s := series{rows, "entry", "services", fmt.Sprintf("%d instances, %d peers, no requests", someInstances, somePeers)}
	for _, n := range p.pick([]int{3, 12, 48, 192}, []int{3, 12, 48}) {
		l := p.load()
		l.Services = n
		if err := entryCosts(s, float64(n), l); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (p Plan) entryInstances(rows *Rows) error {
	s := series{rows, "entry", "instances of a service", fmt.Sprintf("%d services, %d peers, no requests", someServices, somePeers)}
	for _, n := range p.pick([]int{1, 3, 5, 9}, []int{1, 3, 5}) {
		l := p.load()
		l.Instances = n
		if err := entryCosts(s, float64(n), l); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// entryObservers measures an entry that shares the observing with 7 others, as
// one of two observers of each service.
func (p Plan) entryObservers(rows *Rows) error {
	s := series{rows, "entry", "services, 2 observers of 8", fmt.Sprintf("%d instances, %d peers, no requests", someInstances, somePeers)}
	for _, n := range p.pick([]int{3, 12, 48, 96}, []int{3, 12, 48}) {
		l := p.load()
		l.Services, l.Neighbours, l.Observers = n, 7, 2
		if err := entryCosts(s, float64(n), l); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (p Plan) entryPeers(rows *Rows) error {
	s := series{rows, "entry", "peers", fmt.Sprintf("%d services, %d instances, no requests", someServices, someInstances)}
	for _, n := range p.pick([]int{8, 32, 128}, []int{8, 16, 32}) {
		l := p.load()
		l.Peers = n
		r, err := runEntry(l)
		if err != nil {
			return errors.Trace(err)
		}
		s.add("announcements sent", "bytes/s", float64(n), float64(r.traffic.announcementBytes)/l.Span.Seconds())
		s.add("announcements sent", "per s", float64(n), float64(r.traffic.announcements)/l.Span.Seconds())
	}
	return nil
}

func (p Plan) entryRequests(rows *Rows) error {
	s := series{rows, "entry", "requests in a second", fmt.Sprintf("%d services, %d instances", someServices, someInstances)}
	for _, n := range p.pick([]int{0, 250, 1000, 2000}, []int{0, 250, 1000}) {
		l := p.load()
		l.Rate = n
		r, err := runEntry(l)
		if err != nil {
			return errors.Trace(err)
		}
		seconds := l.Span.Seconds()
		s.add("answered", "per s", float64(n), float64(r.traffic.done)/seconds)
		s.add("refused", "requests", float64(n), float64(r.traffic.refused))
		s.add("probes", "per s", float64(n), float64(r.traffic.probes)/seconds)
		s.add("steps", "per s", float64(n), float64(len(r.events)-r.measured)/seconds)
		s.add("processor", "µs per s", float64(n), micros(r.replay())/seconds)
	}
	return nil
}

// entryRequestServices measures the steps of a loaded entry as services grow;
// a request takes two.
func (p Plan) entryRequestServices(rows *Rows) error {
	s := series{rows, "entry", "services known", fmt.Sprintf("%d requests in a second, %d instances", steadyRate, someInstances)}
	for _, n := range p.pick([]int{3, 12, 48, 96}, []int{3, 12, 24}) {
		l := p.load()
		l.Services, l.Rate = n, steadyRate
		r, err := runEntry(l)
		if err != nil {
			return errors.Trace(err)
		}
		steps := len(r.events) - r.measured
		s.add("step", "µs", float64(n), micros(r.replay())/float64(max(steps, 1)))
		s.add("refused", "requests", float64(n), float64(r.traffic.refused))
	}
	return nil
}

func (p Plan) entryHeld(rows *Rows) error {
	s := series{rows, "entry", "connections held", fmt.Sprintf("%d services, %d instances, no further requests", someServices, someInstances)}
	for _, n := range p.pick([]int{0, 96, 192, 384}, []int{0, 96, 192}) {
		l := p.load()
		l.OpenTransactions = n
		r, err := runEntry(l)
		if err != nil {
			return errors.Trace(err)
		}
		held := float64(r.traffic.held)
		steps := len(r.events) - r.measured
		s.add("step", "µs", held, micros(r.replay())/float64(max(steps, 1)))
		s.add("heap", "bytes", held, r.heap())
		s.add("refused", "requests", held, float64(r.traffic.refused))
	}
	return nil
}
