package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// failoverKind says why a primary is replaced.
type failoverKind uint8

const (
	failoverUnplanned failoverKind = iota // the primary is down
	failoverBootstrap                     // the service has no primary yet
	failoverLeaving                       // the primary is leaving or drained
	failoverSwitch                        // an operator requested the change
	failoverRenewal                       // entries have given up the epoch; the primary stays if it answers
)

// phase is the current step of a failover.
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

// failover is a planned or unplanned change of primary that is in progress.
type failover struct {
	kind  failoverKind
	phase phase
	// epoch is the epoch of the replaced primary up to phaseElect, and the new
	// epoch after it.
	epoch  catalog.Epoch
	target catalog.InstanceID
	// oldPrimary is the primary that is replaced.
	oldPrimary     catalog.InstanceID
	startedAt      catalog.Instant
	phaseStartedAt catalog.Instant
	// nextRevokeAt is when the revocations are sent again.
	nextRevokeAt catalog.Instant
	// nextSurveyAt is when the next survey may start. surveyEndsAt is when the
	// current one times out.
	nextSurveyAt catalog.Instant
	surveyEndsAt catalog.Instant
	// openSurveys maps the number of each unanswered survey request to the
	// instance that was asked.
	openSurveys map[uint64]catalog.InstanceID
	// answers holds the answers of the current survey, all given after the
	// fence.
	answers map[catalog.InstanceID]SurveyDone
	// firstSurveyAt is when the first survey started, zero before it.
	firstSurveyAt catalog.Instant
	// catchUpDeadline limits how long a planned change waits for a replica to
	// catch up.
	catchUpDeadline catalog.Instant
	// targetPosition is the position of the target when it was elected.
	targetPosition catalog.Position
	// promoteSent is set once Promote was sent in this phase.
	promoteSent bool
	attempts    int
	// commandNumber is the number of the operator's command that waits for this
	// failover, zero if there is none.
	commandNumber uint64
}

func (c *Control) startFailover(s catalog.Service, p catalog.Primary, kind failoverKind, target catalog.InstanceID) *failover {
	f := &failover{kind: kind, epoch: p.Epoch, target: target, startedAt: c.now, phaseStartedAt: c.now, catchUpDeadline: c.now.Add(catchUpTimeout)}
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

// fence revokes the leases of the old epoch, and starts the survey once no entry
// can acknowledge a write of that epoch any more.
func (c *Control) fence(s catalog.Service, f *failover) {
	send := f.nextRevokeAt <= c.now
	held := c.now.Before(c.graceEndsAt)
	for _, vm := range c.leaseHolders.vms(s.ID) {
		l, ok := c.entries[vm].leases[s.ID]
		if !ok || l.epoch > f.epoch || !c.isLeaseHeld(l.expiresAt, c.now) {
			continue
		}
		held = true
		if send {
			c.emit(SendMessage{To: vm, Message: wire.Message{Revoke: &wire.Revoke{
				Service: s.ID, Epoch: f.epoch, Drain: f.completesWrites(),
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

// completesWrites reports whether entries may complete the writes in progress
// before they give up their leases. They may while the primary is not taken for
// dead.
func (f *failover) completesWrites() bool {
	return f.kind == failoverLeaving || f.kind == failoverSwitch || f.kind == failoverRenewal
}

// handleFenceAck removes the lease that an entry has given up.
func (c *Control) handleFenceAck(m wire.FenceAck) {
	v := c.entries[m.VM]
	if !c.isLeader || v == nil || m.Incarnation != v.incarnation {
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

// giveUp changes the kind of a failover whose condition has not been met for too
// long.
func (c *Control) giveUp(s catalog.Service, f *failover) {
	switch f.kind {
	case failoverSwitch, failoverLeaving:
		c.giveUpPlannedChange(s, f)
	case failoverBootstrap:
		c.giveUpBootstrap(s, f)
	}
}

// giveUpPlannedChange turns a planned change into a renewal of the epoch if no
// replica caught up in time. The old primary is then elected again if it
// responds to a new survey, otherwise another instance.
func (c *Control) giveUpPlannedChange(s catalog.Service, f *failover) {
	if c.now.Before(f.catchUpDeadline) {
		return
	}
	if f.commandNumber != 0 {
		c.emit(AnswerCommand{Number: f.commandNumber, Reply: Reply{Code: ReplyConflict, Version: c.state.Version, Text: switchFailedText}})
		f.commandNumber = 0
	}
	f.kind, f.target = failoverRenewal, ""
	c.enterPhase(s, f, phaseSurvey)
}

// giveUpBootstrap lets any instance become the first primary of a service if the one
// that called itself primary answers no survey and has not announced itself for as
// long as an announcement counts, or answers no survey for unresponsiveReplicaWait.
func (c *Control) giveUpBootstrap(s catalog.Service, f *failover) {
	wait := c.options.Timings.AnnouncementTTL
	for _, u := range c.instancesOf(s.ID) {
		if u.announcement.Role == catalog.RolePrimary && c.isUsable(u) {
			wait = unresponsiveReplicaWait
		}
	}
	if f.firstSurveyAt == 0 || c.now.Before(f.firstSurveyAt.Add(wait)) {
		return
	}
	c.log("failover", "The first primary of a service does not answer.", "service", string(s.ID))
	f.kind = failoverUnplanned
	c.enterPhase(s, f, phaseSurvey)
}
