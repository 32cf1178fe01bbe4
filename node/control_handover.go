package node

import (
	"maps"
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/wire"
)

// startDrain begins a planned stop. A leader first transfers its leadership.
func (c *Control) startDrain() {
	c.draining = true
	c.drainDeadline = c.now.Add(2 * c.options.Timings.ElectionTimeout)
	c.applyQuorumOutput(c.quorum.TransferLeadership(c.now))
}

// flushTime is how long a planned stop leaves for messages to be sent.
const flushTime = 50 * time.Millisecond

// announceLeader tells the entries that don't know it who leads. They need a
// renewal of their leases before the present ones expire, and would otherwise
// find the leader only by asking all control VMs again and again, which costs
// these their processor time just when they elect one.
func (c *Control) announceLeader() {
	leader := c.quorum.Leader()
	if len(c.uninformedEntries) == 0 || leader == "" || leader == c.options.VM && !c.isLeader {
		return
	}
	for _, vm := range slices.Sorted(maps.Keys(c.uninformedEntries)) {
		c.emit(SendMessage{To: vm, Message: wire.Message{Answer: &wire.Answer{
			Leader: leader, Refused: true, Sequence: c.uninformedEntries[vm],
		}}})
	}
	clear(c.uninformedEntries)
	c.flushedAt = c.now.Add(flushTime)
}

// finishDrain ends a planned stop when another VM leads or at the deadline.
func (c *Control) finishDrain() {
	if !c.draining || c.stopped {
		return
	}
	leader := c.quorum.Leader()
	isReplaced := leader != "" && leader != c.options.VM && !c.now.Before(c.flushedAt)
	if !isReplaced && c.now.Before(c.drainDeadline) {
		return
	}
	c.stopped = true
	c.emit(Stopped{})
}
