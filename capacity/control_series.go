package capacity

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Base sizes of the control measurements. Each series varies one of them.
const (
	controlBaseEntries   = 8
	controlBaseServices  = 30
	failoverBaseServices = 3
	// timedReports is the maximum number of reports that are timed together.
	timedReports = 32
)

// measureControl measures the costs of a control leader.
func (p Plan) measureControl(rows *Rows) error {
	steps := []func(*Rows) error{p.measureControlByEntries, p.measureControlByServices, p.measureFailoverByEntries, p.measureFailoverByServices}
	for _, s := range steps {
		if err := s(rows); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (p Plan) measureControlByEntries(rows *Rows) error {
	s := series{rows, "control", "entries", fmt.Sprintf("%d services, %d instances", controlBaseServices, baseInstances)}
	for _, n := range p.choosePoints([]int{8, 64, 256, 1024}, []int{8, 32, 128}) {
		if err := addControlCosts(s, float64(n), controlLoad{n, controlBaseServices, baseInstances}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (p Plan) measureControlByServices(rows *Rows) error {
	s := series{rows, "control", "services", fmt.Sprintf("%d entries, %d instances", controlBaseEntries, baseInstances)}
	for _, n := range p.choosePoints([]int{3, 30, 300, 3000}, []int{3, 30, 300}) {
		if err := addControlCosts(s, float64(n), controlLoad{controlBaseEntries, n, baseInstances}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// addControlCosts adds the costs of a leader at one point of a series.
func addControlCosts(s series, x float64, l controlLoad) error {
	r, err := newControlSim(l)
	if err != nil {
		return errors.Trace(err)
	}
	if err := addReportCosts(s, x, r); err != nil {
		return errors.Trace(err)
	}
	// Within one second, every periodic sweep runs at least once.
	cpu := minCPUTimeOf(func() { r.advance(time.Second) })
	s.add("sweeps", "µs per s", x, microseconds(cpu))
	s.add("sweeps per one of them", "µs per s", x, microseconds(cpu)/x)
	cpu = minCPUTimeOf(r.createService)
	s.add("change", "µs", x, microseconds(cpu))
	for _, v := range r.replies {
		if v.Code != node.ReplyOK {
			return errors.Errorf("a change was not accepted: %s", v.Text)
		}
	}
	if len(r.replies) != timedRuns {
		return errors.Errorf("%d of %d changes were answered", len(r.replies), timedRuns)
	}
	size, err := r.encodedSize()
	if err != nil {
		return errors.Trace(err)
	}
	s.add("change", "messages", x, float64(len(r.messages)))
	s.add("change", "bytes", x, float64(size))
	r.clearMessages()
	s.add("heap", "bytes", x, heapFreedBy(func() { r.control = nil }))
	return nil
}

func addReportCosts(s series, x float64, r *controlSim) error {
	n := min(timedReports, r.load.Entries)
	minCPU := time.Duration(0)
	for i := range timedRuns {
		r.clearMessages()
		var messages []wire.Message
		for k := range n {
			messages = append(messages, r.nextReport(k, wire.EvidenceAlive))
		}
		cpu := cpuTimeOf(func() { r.deliverReports(messages) })
		if i == 0 || cpu < minCPU {
			minCPU = cpu
		}
	}
	size, err := r.encodedSize()
	if err != nil {
		return errors.Trace(err)
	}
	s.add("report", "µs", x, microseconds(minCPU)/float64(n))
	s.add("answer", "bytes", x, float64(size)/float64(n))
	return nil
}

func (p Plan) measureFailoverByEntries(rows *Rows) error {
	s := series{rows, "control", "entries", fmt.Sprintf("%d services, %d instances, failover", failoverBaseServices, baseInstances)}
	for _, n := range p.choosePoints([]int{8, 64, 256, 1024}, []int{8, 32, 128}) {
		if err := addFailoverCosts(s, float64(n), controlLoad{n, failoverBaseServices, baseInstances}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

func (p Plan) measureFailoverByServices(rows *Rows) error {
	s := series{rows, "control", "services", fmt.Sprintf("%d entries, %d instances, failover", controlBaseEntries, baseInstances)}
	for _, n := range p.choosePoints([]int{3, 30, 300, 3000}, []int{3, 30, 300}) {
		if err := addFailoverCosts(s, float64(n), controlLoad{controlBaseEntries, n, baseInstances}); err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

// addFailoverCosts adds the costs of one failover for the leader. The processor
// time per entry shows the cost of iterating over all entries.
func addFailoverCosts(s series, x float64, l controlLoad) error {
	var r *controlSim
	minCPU := time.Duration(0)
	for i := range timedRuns {
		var err error
		if r, err = newControlSim(l); err != nil {
			return errors.Trace(err)
		}
		r.announceAll(2)
		for n := range l.Entries {
			r.sendReport(n)
		}
		r.clearMessages()
		cpu := cpuTimeOf(r.runFailover)
		if i == 0 || cpu < minCPU {
			minCPU = cpu
		}
	}
	if r.promotions != 1 {
		return errors.Errorf("the change of primary promoted %d instances", r.promotions)
	}
	size, err := r.encodedSize()
	if err != nil {
		return errors.Trace(err)
	}
	s.add("failover", "messages", x, float64(len(r.messages)+l.Entries))
	s.add("failover", "bytes", x, float64(size))
	s.add("failover", "µs per entry", x, microseconds(minCPU)/float64(l.Entries))
	return nil
}
