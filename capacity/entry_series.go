package capacity

import (
	"fmt"
	"time"

	"github.com/juju/errors"
)

// Plan sets how many points are measured and for how long.
type Plan struct {
	// Quick selects fewer and smaller points, and halves the measured time.
	Quick bool
}

// Base sizes of the entry measurements. Each series varies one of them.
const (
	entryBaseServices = 12
	baseInstances     = 3
	entryBasePeers    = 8
	steadyRequestRate = 400
)

// choosePoints returns the points of a series that the plan selects.
func (p Plan) choosePoints(full, quick []int) []int {
	if p.Quick {
		return quick
	}
	return full
}

func (p Plan) scaleDuration(d time.Duration) time.Duration {
	if p.Quick {
		return d / 2
	}
	return d
}

func (p Plan) baseLoad() entryLoad {
	return entryLoad{
		Services: entryBaseServices, Instances: baseInstances, Peers: entryBasePeers,
		WarmUp: 1500 * time.Millisecond, MeasuredTime: p.scaleDuration(time.Second),
	}
}

// measureEntry measures the costs of an entry.
func (p Plan) measureEntry(rows *Rows) error {
	steps := []func(*Rows) error{
		p.measureEntryByServices, p.measureEntryByInstances, p.measureEntryWithObservers, p.measureEntryByPeers,
		p.measureEntryByRequestRate, p.measureLoadedEntryByServices, p.measureEntryByOpenTransactions,
	}
	for _, s := range steps {
		if err := s(rows); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// addEntryCosts adds the costs of an idle entry at one point of a series.
func addEntryCosts(s series, x float64, l entryLoad) error {
	r, err := simulateEntry(l)
	if err != nil {
		return errors.Trace(err)
	}
	t, seconds := r.traffic, l.MeasuredTime.Seconds()
	s.add("report", "bytes", x, float64(t.reportBytes)/float64(max(t.reports, 1)))
	s.add("reports", "per s", x, float64(t.reports)/seconds)
	s.add("answer", "bytes", x, float64(t.answerBytes)/float64(max(t.reports, 1)))
	s.add("announcements sent", "bytes/s", x, float64(t.announcementBytes)/seconds)
	s.add("probes", "per s", x, float64(t.probes)/seconds)
	steps := len(r.events) - r.measuredFrom
	s.add("steps", "per s", x, float64(steps)/seconds)
	cpu := r.replay()
	s.add("step", "µs", x, microseconds(cpu)/float64(max(steps, 1)))
	s.add("processor", "% of a core", x, percentOfCore(cpu, l.MeasuredTime))
	s.add("heap", "bytes", x, r.measureHeap())
	return nil
}

func microseconds(d time.Duration) float64 {
	return float64(d.Nanoseconds()) / 1e3
}

func (p Plan) measureEntryByServices(rows *Rows) error {
	s := series{rows, "entry", "services", fmt.Sprintf("%d instances, %d peers, no requests", baseInstances, entryBasePeers)}
	for _, n := range p.choosePoints([]int{3, 12, 48, 192}, []int{3, 12, 48}) {
		l := p.baseLoad()
		l.Services = n
		if err := addEntryCosts(s, float64(n), l); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (p Plan) measureEntryByInstances(rows *Rows) error {
	s := series{rows, "entry", "instances of a service", fmt.Sprintf("%d services, %d peers, no requests", entryBaseServices, entryBasePeers)}
	for _, n := range p.choosePoints([]int{1, 3, 5, 9}, []int{1, 3, 5}) {
		l := p.baseLoad()
		l.Instances = n
		if err := addEntryCosts(s, float64(n), l); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// measureEntryWithObservers measures an entry at a site with 7 other entries, where
// two entries observe each service.
func (p Plan) measureEntryWithObservers(rows *Rows) error {
	s := series{rows, "entry", "services, 2 observers of 8", fmt.Sprintf("%d instances, %d peers, no requests", baseInstances, entryBasePeers)}
	for _, n := range p.choosePoints([]int{3, 12, 48, 96}, []int{3, 12, 48}) {
		l := p.baseLoad()
		l.Services, l.SitePeers, l.Observers = n, 7, 2
		if err := addEntryCosts(s, float64(n), l); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (p Plan) measureEntryByPeers(rows *Rows) error {
	s := series{rows, "entry", "peers", fmt.Sprintf("%d services, %d instances, no requests", entryBaseServices, baseInstances)}
	for _, n := range p.choosePoints([]int{8, 32, 128}, []int{8, 16, 32}) {
		l := p.baseLoad()
		l.Peers = n
		r, err := simulateEntry(l)
		if err != nil {
			return errors.Trace(err)
		}
		s.add("announcements sent", "bytes/s", float64(n), float64(r.traffic.announcementBytes)/l.MeasuredTime.Seconds())
		s.add("announcements sent", "per s", float64(n), float64(r.traffic.announcements)/l.MeasuredTime.Seconds())
	}
	return nil
}

func (p Plan) measureEntryByRequestRate(rows *Rows) error {
	s := series{rows, "entry", "requests in a second", fmt.Sprintf("%d services, %d instances", entryBaseServices, baseInstances)}
	for _, n := range p.choosePoints([]int{0, 250, 1000, 2000}, []int{0, 250, 1000}) {
		l := p.baseLoad()
		l.RequestsPerSecond = n
		r, err := simulateEntry(l)
		if err != nil {
			return errors.Trace(err)
		}
		seconds := l.MeasuredTime.Seconds()
		s.add("answered", "per s", float64(n), float64(r.traffic.doneRequests)/seconds)
		s.add("refused", "requests", float64(n), float64(r.traffic.refusedRequests))
		s.add("probes", "per s", float64(n), float64(r.traffic.probes)/seconds)
		s.add("steps", "per s", float64(n), float64(len(r.events)-r.measuredFrom)/seconds)
		s.add("processor", "µs per s", float64(n), microseconds(r.replay())/seconds)
	}
	return nil
}

// measureLoadedEntryByServices measures the steps of a loaded entry for a growing
// number of services. Each request takes two steps.
func (p Plan) measureLoadedEntryByServices(rows *Rows) error {
	s := series{rows, "entry", "services known", fmt.Sprintf("%d requests in a second, %d instances", steadyRequestRate, baseInstances)}
	for _, n := range p.choosePoints([]int{3, 12, 48, 96}, []int{3, 12, 24}) {
		l := p.baseLoad()
		l.Services, l.RequestsPerSecond = n, steadyRequestRate
		r, err := simulateEntry(l)
		if err != nil {
			return errors.Trace(err)
		}
		steps := len(r.events) - r.measuredFrom
		s.add("step", "µs", float64(n), microseconds(r.replay())/float64(max(steps, 1)))
		s.add("refused", "requests", float64(n), float64(r.traffic.refusedRequests))
	}
	return nil
}

func (p Plan) measureEntryByOpenTransactions(rows *Rows) error {
	s := series{rows, "entry", "connections held", fmt.Sprintf("%d services, %d instances, no further requests", entryBaseServices, baseInstances)}
	for _, n := range p.choosePoints([]int{0, 96, 192, 384}, []int{0, 96, 192}) {
		l := p.baseLoad()
		l.OpenTransactions = n
		r, err := simulateEntry(l)
		if err != nil {
			return errors.Trace(err)
		}
		held := float64(r.traffic.openTransactions)
		steps := len(r.events) - r.measuredFrom
		s.add("step", "µs", held, microseconds(r.replay())/float64(max(steps, 1)))
		s.add("heap", "bytes", held, r.measureHeap())
		s.add("refused", "requests", held, float64(r.traffic.refusedRequests))
	}
	return nil
}
