package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// plan says why a primary is changed.
type plan uint8

const (
	planNone    plan = iota // the primary is gone
	planFirst               // the service has none yet
	planLeaving             // the primary asked to leave, or is drained
	planSwitch              // an operator asked
)

// phase is the step that a change of primary has reached.
type phase uint8

const (
	phaseFence phase = iota
	phaseSurvey
	phaseElect
	phasePromote
	phaseConfirm
)

var phaseNames = [...]string{"fence", "survey", "elect", "promote", "confirm"}

const (
	revokeEvery    = 50 * time.Millisecond
	surveyTime     = 150 * time.Millisecond
	surveyAgain    = 30 * time.Millisecond
	promoteTime    = 2 * time.Second
	promoteTries   = 3
	electTime      = time.Second
	catchUpTime    = 2 * time.Second
	switchFailText = "The replica did not catch up. The primary stays; try again when it lags less."
)

// failover is one change of primary in progress, planned or not.
type failover struct {
	plan  plan
	phase phase
	// epoch is the one being replaced up to phaseElect, the new one after.
	epoch  catalog.Epoch
	target catalog.InstanceID
	// from is the primary that is replaced.
	from      catalog.InstanceID
	startedAt catalog.Instant
	phaseAt   catalog.Instant
	// revokeAt is when revokes are sent again.
	revokeAt catalog.Instant
	// surveyAt is when the next survey starts, surveyEnds when the present
	// one is over.
	surveyAt   catalog.Instant
	surveyEnds catalog.Instant
	// surveys maps the numbers of open questions to the instance asked.
	surveys map[uint64]catalog.InstanceID
	// answers are those given in the present survey, all after the fence.
	answers map[catalog.InstanceID]SurveyDone
	// giveUpAt ends the wait for a replica to catch up, for planned changes.
	giveUpAt catalog.Instant
	// asked is set once Promote was sent in this phase.
	asked bool
	tries int
	// number is the operator's command, zero if none waits.
	number uint64
}

func (c *Control) startFailover(s catalog.Service, p catalog.Primary, why plan, target catalog.InstanceID) *failover {
	f := &failover{plan: why, epoch: p.Epoch, target: target, startedAt: c.now, phaseAt: c.now, giveUpAt: c.now.Add(catchUpTime)}
	c.failovers[s.ID] = f
	c.emit(Count{Name: "failovers", Delta: 1})
	c.log("failover", "A change of primary begins.", "service", string(s.ID), "from", string(p.Instance))
	c.driveFailover(s, f)
	return f
}

func (c *Control) driveFailover(s catalog.Service, f *failover) {
	switch f.phase {
	case phaseFence:
		c.fence(s, f)
	case phaseSurvey:
		c.survey(s, f)
	case phaseElect:
		if f.phaseAt.Add(electTime).Before(c.now) {
			c.enter(s, f, phaseSurvey)
		}
	case phasePromote:
		c.drivePromotion(s, f)
	case phaseConfirm:
		if f.phaseAt.Add(promoteTime).Before(c.now) {
			c.promoteFailed(s, f)
		}
	}
}

func (c *Control) enter(s catalog.Service, f *failover, next phase) {
	if next != f.phase {
		c.emit(Span{Name: "failover-" + phaseNames[f.phase], Service: s.ID, Start: f.phaseAt, End: c.now})
	}
	f.phase, f.phaseAt = next, c.now
	f.surveys, f.answers, f.surveyAt = map[uint64]catalog.InstanceID{}, map[catalog.InstanceID]SurveyDone{}, c.now
}

// fence waits until no entry can acknowledge a write of the old epoch.
func (c *Control) fence(s catalog.Service, f *failover) {
	send := f.revokeAt <= c.now
	held := c.now.Before(c.graceEnds)
	for _, vm := range c.holders.names(s.ID) {
		l, ok := c.entries[vm].leases[s.ID]
		if !ok || l.epoch > f.epoch || !c.leaseHeld(l.until, c.now) {
			continue
		}
		held = true
		if send {
			c.emit(SendMessage{To: vm, Message: wire.Message{Revoke: &wire.Revoke{
				Service: s.ID, Epoch: f.epoch, Drain: f.plan == planLeaving || f.plan == planSwitch,
			}}})
		}
	}
	if send {
		f.revokeAt = c.now.Add(revokeEvery)
	}
	if held {
		return
	}
	c.enter(s, f, phaseSurvey)
	c.survey(s, f)
}

// fenced notes that an entry gave up its lease.
func (c *Control) fenced(m wire.FenceAck) {
	v := c.entries[m.VM]
	if !c.leading || v == nil || m.Incarnation != v.life {
		return
	}
	if l, ok := v.leases[m.Service]; ok && l.epoch <= m.Epoch {
		delete(v.leases, m.Service)
		c.holders.remove(m.Service, m.VM)
	}
	if s, ok := c.state.Service(m.Service); ok {
		if f := c.failovers[m.Service]; f != nil && f.phase == phaseFence {
			c.driveFailover(s, f)
		}
	}
}

// abandonPlan ends a planned change that takes too long: the old primary is
// elected again, or, if it is gone, the change goes on as an unplanned one.
func (c *Control) abandonPlan(s catalog.Service, f *failover) bool {
	planned := f.plan == planSwitch || f.plan == planLeaving
	if !planned || c.now.Before(f.giveUpAt) {
		return false
	}
	if f.number != 0 {
		c.emit(AnswerCommand{Number: f.number, Reply: Reply{Code: ReplyConflict, Version: c.state.Version, Text: switchFailText}})
		f.number = 0
	}
	f.plan, f.target = planNone, ""
	return false
}
