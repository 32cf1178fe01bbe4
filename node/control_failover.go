package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// failoverKind says why a primary is changed.
type failoverKind uint8

const (
	failoverUnplanned failoverKind = iota // the primary is gone
	failoverBootstrap                     // the service has none yet
	failoverLeaving                       // the primary asked to leave, or is drained
	failoverSwitch                        // an operator asked
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
	revokeInterval         = 50 * time.Millisecond
	defaultSurveyTimeout   = 150 * time.Millisecond
	surveyRetryDelay       = 30 * time.Millisecond
	promoteTimeout         = 2 * time.Second
	defaultPromoteAttempts = 3
	electTimeout           = time.Second
	catchUpTimeout         = 2 * time.Second
	switchFailedText       = "The replica did not catch up. The primary stays; try again when it lags less."
)

// failover is one change of primary in progress, planned or not.
type failover struct {
	kind  failoverKind
	phase phase
	// epoch is the one being replaced up to phaseElect, the new one after.
	epoch  catalog.Epoch
	target catalog.InstanceID
	// oldPrimary is the primary that is replaced.
	oldPrimary     catalog.InstanceID
	startedAt      catalog.Instant
	phaseStartedAt catalog.Instant
	// nextRevokeAt is when revokes are sent again.
	nextRevokeAt catalog.Instant
	// nextSurveyAt is when the next survey starts, surveyEnds when the present
	// one is over.
	nextSurveyAt catalog.Instant
	surveyEndsAt catalog.Instant
	// openSurveys maps the numbers of open questions to the instance asked.
	openSurveys map[uint64]catalog.InstanceID
	// answers are those given in the present survey, all after the fence.
	answers map[catalog.InstanceID]SurveyDone
	// catchUpDeadline ends the wait for a replica to catch up, for planned changes.
	catchUpDeadline catalog.Instant
	// promoteSent is set once Promote was sent in this phase.
	promoteSent bool
	attempts    int
	// commandNumber is the operator's command, zero if none waits.
	commandNumber uint64
}

func (c *Control) startFailover(s catalog.Service, p catalog.Primary, why failoverKind, target catalog.InstanceID) *failover {
	f := &failover{kind: why, epoch: p.Epoch, target: target, startedAt: c.now, phaseStartedAt: c.now, catchUpDeadline: c.now.Add(catchUpTimeout)}
	c.failovers[s.ID] = f
	c.emit(Count{Name: "failovers", Delta: 1})
	c.log("failover", "A change of primary begins.", "service", string(s.ID), "from", string(p.Instance))
	c.advanceFailover(s, f)
	return f
}

func (c *Control) advanceFailover(s catalog.Service, f *failover) {
	switch f.phase {
	case phaseFence:
		c.fence(s, f)
	case phaseSurvey:
		c.survey(s, f)
	case phaseElect:
		if f.phaseStartedAt.Add(electTimeout).Before(c.now) {
			c.enterPhase(s, f, phaseSurvey)
		}
	case phasePromote:
		c.advancePromotion(s, f)
	case phaseConfirm:
		if f.phaseStartedAt.Add(promoteTimeout).Before(c.now) {
			c.retryPromotion(s, f)
		}
	}
}

func (c *Control) enterPhase(s catalog.Service, f *failover, next phase) {
	if next != f.phase {
		c.emit(Span{Name: "failover-" + phaseNames[f.phase], Service: s.ID, Start: f.phaseStartedAt, End: c.now})
	}
	f.phase, f.phaseStartedAt = next, c.now
	f.openSurveys, f.answers, f.nextSurveyAt = map[uint64]catalog.InstanceID{}, map[catalog.InstanceID]SurveyDone{}, c.now
}

// fence waits until no entry can acknowledge a write of the old epoch.
func (c *Control) fence(s catalog.Service, f *failover) {
	send := f.nextRevokeAt <= c.now
	held := c.now.Before(c.graceEndsAt)
	for _, vm := range c.leaseHolders.names(s.ID) {
		l, ok := c.entries[vm].leases[s.ID]
		if !ok || l.epoch > f.epoch || !c.isLeaseHeld(l.expiresAt, c.now) {
			continue
		}
		held = true
		if send {
			c.emit(SendMessage{To: vm, Message: wire.Message{Revoke: &wire.Revoke{
				Service: s.ID, Epoch: f.epoch, Drain: f.kind == failoverLeaving || f.kind == failoverSwitch,
			}}})
		}
	}
	if send {
		f.nextRevokeAt = c.now.Add(revokeInterval)
	}
	if held {
		return
	}
	c.enterPhase(s, f, phaseSurvey)
	c.survey(s, f)
}

// handleFenced notes that an entry gave up its lease.
func (c *Control) handleFenced(m wire.Fenced) {
	v := c.entries[m.VM]
	if !c.isLeader || v == nil || m.Life != v.life {
		return
	}
	if l, ok := v.leases[m.Service]; ok && l.epoch <= m.Epoch {
		delete(v.leases, m.Service)
		c.leaseHolders.remove(m.Service, m.VM)
	}
	if s, ok := c.state.Service(m.Service); ok {
		if f := c.failovers[m.Service]; f != nil && f.phase == phaseFence {
			c.advanceFailover(s, f)
		}
	}
}

// giveUpPlannedChange ends a planned change that takes too long: the old primary is
// elected again, or, if it is gone, the change goes on as an unplanned one.
func (c *Control) giveUpPlannedChange(s catalog.Service, f *failover) bool {
	planned := f.kind == failoverSwitch || f.kind == failoverLeaving
	if !planned || c.now.Before(f.catchUpDeadline) {
		return false
	}
	if f.commandNumber != 0 {
		c.emit(AnswerCommand{Number: f.commandNumber, Reply: Reply{Code: ReplyConflict, Version: c.state.Version, Text: switchFailedText}})
		f.commandNumber = 0
	}
	f.kind, f.target = failoverUnplanned, ""
	return false
}
