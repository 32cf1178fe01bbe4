package capacity

import (
	"cmp"
	"slices"
	"time"
)

// StepCost is the processor time that the steps of one reducer took on the
// measuring machine, in whole seconds of the play.
type StepCost struct {
	// Total is the time of all steps, Busiest that of the second of the play that
	// took the most, and Longest that of the longest step.
	Total, Busiest, Longest time.Duration
	perSecond               map[int]time.Duration
}

// recordStep counts the processor time of a step.
func (f *fleetMeter) recordStep(w *recoverySim, v *modelVM, d time.Duration) {
	c := f.costs[v.id]
	if c == nil {
		c = &StepCost{perSecond: map[int]time.Duration{}}
		f.costs[v.id] = c
	}
	if v.isControl {
		f.result.Queue = max(f.result.Queue, len(v.inputs))
	}
	second := int(w.now.Sub(f.started) / time.Second)
	c.perSecond[second] += d
	c.Total, c.Longest = c.Total+d, max(c.Longest, d)
	c.Busiest = max(c.Busiest, c.perSecond[second])
}

// middleCost returns the cost of the VM with the middle total.
func (f *fleetMeter) middleCost(vms []*modelVM) StepCost {
	var list []StepCost
	for _, v := range vms {
		if c := f.costs[v.id]; c != nil {
			list = append(list, *c)
		}
	}
	if len(list) == 0 {
		return StepCost{}
	}
	slices.SortFunc(list, func(a, b StepCost) int { return cmp.Compare(a.Total, b.Total) })
	return list[len(list)/2]
}

func (f *fleetMeter) addCosts(w *recoverySim) {
	var followers []*modelVM
	for _, k := range w.controls {
		if k.id != w.leader {
			followers = append(followers, k)
		} else if c := f.costs[k.id]; c != nil {
			f.result.Leader = *c
		}
	}
	f.result.Follower, f.result.Entry = f.middleCost(followers), f.middleCost(w.entries)
}

// countEntries counts the entries in each state at the end of a play.
func (f *fleetMeter) countEntries(w *recoverySim) {
	for _, e := range w.entries {
		if f.versions[e.id] == f.version {
			f.result.Informed++
		}
		if w.now.Sub(e.leasedAt) < w.timings.LeaseLength {
			f.result.Ready++
		}
	}
}
