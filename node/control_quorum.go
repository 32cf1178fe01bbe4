package node

import (
	"fmt"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	sweepInterval = 20 * time.Millisecond
	// maintenanceInterval is the time between two rounds of Follow effects, and
	// the suggested retry delay while a member is being replaced.
	maintenanceInterval = time.Second
	// joinRetryInterval is the time between two requests to join. It is short
	// because a repaired VM must become a member within a few seconds.
	joinRetryInterval = 250 * time.Millisecond
)

// applyQuorumOutput applies committed records and emits the messages and writes
// that the quorum requires.
func (c *Control) applyQuorumOutput(out quorum.Output) {
	if out.Restore != nil {
		c.restoreSnapshot(*out.Restore)
	}
	for _, r := range out.Committed {
		c.applyRecord(r)
	}
	for _, m := range out.Send {
		c.emit(SendMessage{To: m.To, Message: wire.Message{Quorum: &wire.Quorum{Body: m.Body}}})
	}
	if out.Write != nil {
		c.emit(Persist{Token: out.WriteID, Write: *out.Write})
	}
	if out.SnapshotDue {
		c.compactLog()
	}
}

func (c *Control) restoreSnapshot(s quorum.Snapshot) {
	state, err := registry.Restore(s.Data)
	if err != nil {
		c.emit(Log{Level: LevelError, Part: "control", Text: "Rejected a snapshot.", Pairs: []string{"cause", err.Error()}})
		return
	}
	c.state, c.appliedIndex = state, s.Index
}

func (c *Control) compactLog() {
	data, err := c.state.Snapshot()
	if err != nil {
		c.emit(Log{Level: LevelError, Part: "control", Text: "Failed to encode a snapshot.", Pairs: []string{"cause", err.Error()}})
		return
	}
	c.applyQuorumOutput(c.quorum.Compact(c.now, c.appliedIndex, data))
}

// propose appends a change to the replicated log. It reports whether this VM
// could propose it. If number is not zero, the operator's command of that
// number is answered when the change is committed.
func (c *Control) propose(change registry.Change, number uint64) bool {
	return c.tryPropose(change, number) == nil
}

// tryPropose is propose with the reason of a failure: a NotValid error if the log
// can't hold the change, another one if this VM can't propose now.
func (c *Control) tryPropose(change registry.Change, number uint64) error {
	data, err := registry.Encode(change)
	if err != nil {
		return err
	}
	index, out, err := c.quorum.Propose(c.now, data)
	if errors.Is(err, quorum.ErrTooLarge) {
		return errors.NewNotValid(err, fmt.Sprintf("change of %d bytes, the limit is %d", len(data), quorum.MaxDataBytes))
	}
	if err != nil {
		return errors.Trace(err)
	}
	// A single member commits immediately, so the proposal must be registered
	// before the output is applied.
	if number != 0 {
		c.proposals[index] = number
	}
	c.applyQuorumOutput(out)
	return nil
}

const (
	// maxImmediateEnrollments is the number of upstreams within enrollmentWindow that
	// are proposed as soon as they announce themselves. Further ones are proposed
	// together once per enrollmentInterval: 3,600 upstreams that start within a
	// heartbeat would otherwise take 29,000 messages to eight other members, and as
	// many answers, which is more than a leader with half of a core handles.
	maxImmediateEnrollments = 16
	enrollmentWindow        = time.Second
	enrollmentInterval      = 100 * time.Millisecond
)

// mayEnrollNow reports whether an upstream may be proposed without waiting.
func (c *Control) mayEnrollNow() bool {
	if !c.now.Before(c.enrollmentWindowEndsAt) {
		c.enrollmentWindowEndsAt, c.immediateEnrollments = c.now.Add(enrollmentWindow), 0
	}
	c.immediateEnrollments++
	return c.immediateEnrollments <= maxImmediateEnrollments
}

// proposeEnrollments proposes the upstreams that wait for it.
func (c *Control) proposeEnrollments() {
	if len(c.waitingEnrollments) == 0 || c.now.Before(c.nextEnrollmentAt) {
		return
	}
	waiting := c.waitingEnrollments
	c.waitingEnrollments, c.nextEnrollmentAt = nil, c.now.Add(enrollmentInterval)
	var list [][]byte
	for _, a := range waiting {
		if data, err := registry.Encode(registry.Change{Register: &a}); err == nil {
			list = append(list, data)
		}
	}
	if len(list) == 0 {
		return
	}
	if _, out, err := c.quorum.ProposeAll(c.now, list); err == nil {
		c.applyQuorumOutput(out)
	}
}

func (c *Control) applyRecord(r quorum.Record) {
	c.appliedIndex = r.Index
	if len(r.Data) == 0 {
		return
	}
	change, err := registry.Decode(r.Data)
	if err != nil {
		// A leader of another build proposed it. All members skip the record.
		c.emit(Log{Level: LevelError, Part: "control", Text: "Skipped a record that can't be decoded.", Pairs: []string{"cause", err.Error()}})
		if n, ok := c.proposals[r.Index]; ok {
			delete(c.proposals, r.Index)
			c.reply(n, Reply{Code: ReplyInvalid, Version: c.state.Version, Text: "The change can't be decoded."})
		}
		return
	}
	before := c.state.Version
	result := c.state.Apply(change)
	if n, ok := c.proposals[r.Index]; ok {
		delete(c.proposals, r.Index)
		c.emit(AnswerCommand{Number: n, Reply: replyTo(result)})
	}
	if !c.isLeader {
		return
	}
	switch {
	case change.Elect != nil:
		c.handleElected(*change.Elect)
	case change.Ready != nil:
		c.handleReady(*change.Ready)
	case change.Retire != nil:
		c.handleRetired(*change.Retire)
	case c.state.Version != before:
		c.pushAll()
	}
}

func replyTo(r registry.Result) Reply {
	return Reply{Code: ReplyCode(r.Code), Version: r.Version, Text: r.Text, Winner: r.ConflictingChange}
}
