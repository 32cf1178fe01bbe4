package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/registry"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	sweepEvery = 20 * time.Millisecond
	joinEvery  = time.Second
	// joinAgain is the time between two requests to join. A repaired VM must
	// be a member within a few seconds.
	joinAgain = 250 * time.Millisecond
)

// drive carries out what the agreement asks for.
func (c *Control) drive(out quorum.Output) {
	if out.Restore != nil {
		c.restore(*out.Restore)
	}
	for _, r := range out.Committed {
		c.apply(r)
	}
	for _, m := range out.Send {
		c.emit(SendMessage{To: m.To, Message: wire.Message{Quorum: &wire.Quorum{Body: m.Body}}})
	}
	if out.Write != nil {
		c.emit(Persist{Token: out.Token, Write: *out.Write})
	}
	if out.WantSnapshot {
		c.compact()
	}
}

func (c *Control) restore(s quorum.Snapshot) {
	state, err := registry.Restore(s.Data)
	if err != nil {
		c.emit(Log{Level: LevelError, Part: "control", Text: "Refused a snapshot.", Pairs: []string{"cause", err.Error()}})
		return
	}
	c.state, c.appliedIndex = state, s.Index
}

func (c *Control) compact() {
	data, err := c.state.Snapshot()
	if err != nil {
		c.emit(Log{Level: LevelError, Part: "control", Text: "Made no snapshot.", Pairs: []string{"cause", err.Error()}})
		return
	}
	c.drive(c.quorum.Compact(c.now, c.appliedIndex, data))
}

// propose puts a change on the agreed log. It reports whether this VM could.
func (c *Control) propose(change registry.Change, number uint64) bool {
	data, err := registry.Encode(change)
	if err != nil {
		return false
	}
	index, out, err := c.quorum.Propose(c.now, data)
	if err != nil {
		return false
	}
	// A lone member commits at once, so the proposal must be known first.
	if number != 0 {
		c.proposals[index] = number
	}
	c.drive(out)
	return true
}

func (c *Control) apply(r quorum.Record) {
	c.appliedIndex = r.Index
	if len(r.Data) == 0 {
		return
	}
	change, err := registry.Decode(r.Data)
	if err != nil {
		// The log holds only what a leader encoded, so this is a fault of
		// the program or the disk; the record changes nothing anywhere.
		c.emit(Log{Level: LevelError, Part: "control", Text: "Passed over a record.", Pairs: []string{"cause", err.Error()}})
		return
	}
	before := c.state.Version
	result := c.state.Apply(change)
	if n, ok := c.proposals[r.Index]; ok {
		delete(c.proposals, r.Index)
		c.emit(OperatorAnswer{Number: n, Reply: replyTo(result)})
	}
	if !c.isLeader {
		return
	}
	switch {
	case change.Elect != nil:
		c.elected(*change.Elect)
	case change.Ready != nil:
		c.madeReady(*change.Ready)
	case change.Retire != nil:
		c.retired(*change.Retire)
	case c.state.Version != before:
		c.pushAll()
	}
}

func replyTo(r registry.Result) Reply {
	return Reply{Code: ReplyCode(r.Code), Version: r.Version, Text: r.Text, Winner: r.Winner}
}
