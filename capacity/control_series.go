package capacity

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Sizes that control is measured at.
const (
	fewEntries     = 8
	someOfServices = 30
	fewServices    = 3
	// sampled is how many reports are timed.
	sampled = 32
)

// controlRows measures a control leader.
func (p Plan) controlRows(rows *Rows) error {
	steps := []func(*Rows) error{p.controlEntries, p.controlServices, p.failoverEntries, p.failoverServices}
	for _, s := range steps {
		if err := s(rows); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (p Plan) controlEntries(rows *Rows) error {
	s := series{rows, "control", "entries", fmt.Sprintf("%d services, %d instances", someOfServices, someInstances)}
	for _, n := range p.pick([]int{8, 64, 256, 1024}, []int{8, 32, 128}) {
		if err := controlCosts(s, float64(n), controlLoad{n, someOfServices, someInstances}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (p Plan) controlServices(rows *Rows) error {
	s := series{rows, "control", "services", fmt.Sprintf("%d entries, %d instances", fewEntries, someInstances)}
	for _, n := range p.pick([]int{3, 30, 300, 3000}, []int{3, 30, 300}) {
		if err := controlCosts(s, float64(n), controlLoad{fewEntries, n, someInstances}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// controlCosts adds what a leader costs at one point.
func controlCosts(s series, x float64, l controlLoad) error {
	r, err := newControlRun(l)
	if err != nil {
		return errors.Trace(err)
	}
	if err := reportCosts(s, x, r); err != nil {
		return errors.Trace(err)
	}
	// One second has each of the sweeps.
	used := quickest(func() { r.advance(time.Second) })
	s.add("sweeps", "µs per s", x, micros(used))
	s.add("sweeps per one of them", "µs per s", x, micros(used)/x)
	used = quickest(r.create)
	s.add("change", "µs", x, micros(used))
	for _, v := range r.replies {
		if v.Code != node.ReplyOK {
			return errors.Errorf("a change was not accepted: %s", v.Text)
		}
	}
	if len(r.replies) != timedRuns {
		return errors.Errorf("%d of %d changes were answered", len(r.replies), timedRuns)
	}
	size, err := r.bytesSent()
	if err != nil {
		return errors.Trace(err)
	}
	s.add("change", "messages", x, float64(len(r.sent)))
	s.add("change", "bytes", x, float64(size))
	r.clear()
	s.add("heap", "bytes", x, heapOf(func() { r.control = nil }))
	return nil
}

func reportCosts(s series, x float64, r *controlRun) error {
	n := min(sampled, r.load.Entries)
	used := time.Duration(0)
	for i := range timedRuns {
		r.clear()
		var messages []wire.Message
		for k := range n {
			messages = append(messages, r.reportOf(k, wire.EvidenceAlive))
		}
		took := timed(func() { r.feedReports(messages) })
		if i == 0 || took < used {
			used = took
		}
	}
	size, err := r.bytesSent()
	if err != nil {
		return errors.Trace(err)
	}
	s.add("report", "µs", x, micros(used)/float64(n))
	s.add("answer", "bytes", x, float64(size)/float64(n))
	return nil
}

func (p Plan) failoverEntries(rows *Rows) error {
	s := series{rows, "control", "entries", fmt.Sprintf("%d services, %d instances, failover", fewServices, someInstances)}
	for _, n := range p.pick([]int{8, 64, 256, 1024}, []int{8, 32, 128}) {
		if err := failoverCosts(s, float64(n), controlLoad{n, fewServices, someInstances}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (p Plan) failoverServices(rows *Rows) error {
	s := series{rows, "control", "services", fmt.Sprintf("%d entries, %d instances, failover", fewEntries, someInstances)}
	for _, n := range p.pick([]int{3, 30, 300, 3000}, []int{3, 30, 300}) {
		if err := failoverCosts(s, float64(n), controlLoad{fewEntries, n, someInstances}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// failoverCosts adds what one change of primary costs the leader. The
// processor time divided by the entries shows the walks over all of them.
func failoverCosts(s series, x float64, l controlLoad) error {
	var r *controlRun
	used := time.Duration(0)
	for i := range timedRuns {
		var err error
		if r, err = newControlRun(l); err != nil {
			return errors.Trace(err)
		}
		r.announce(2)
		for n := range l.Entries {
			r.report(n)
		}
		r.clear()
		took := timed(r.fail)
		if i == 0 || took < used {
			used = took
		}
	}
	if r.promoted != 1 {
		return errors.Errorf("the change of primary promoted %d instances", r.promoted)
	}
	size, err := r.bytesSent()
	if err != nil {
		return errors.Trace(err)
	}
	s.add("failover", "messages", x, float64(len(r.sent)+l.Entries))
	s.add("failover", "bytes", x, float64(size))
	s.add("failover", "µs per entry", x, micros(used)/float64(l.Entries))
	return nil
}
