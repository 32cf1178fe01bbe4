package node_test

import (
	"math"

	"github.com/anishathalye/porcupine"

	"github.com/kingcupknot/kingcupknot/node"
)

type registerInput struct {
	isWrite bool
	value   int
}

// checkRegisters has porcupine judge the reads of sessions known by id alone,
// whose floor is the primary's position, against all writes of the key.
func (c *callers) checkRegisters() {
	model := porcupine.Model{
		Init: func() any { return 0 },
		Step: func(state, in, out any) (bool, any) {
			if i := in.(registerInput); i.isWrite {
				return true, i.value
			}
			return out.(int) == state.(int), state
		},
	}
	log := c.w.lastPromoted().log
	for session := 1; session < sessions; session += 2 {
		var history []porcupine.Operation
		for _, op := range c.ops {
			ran := len(op.ranAt) > 0
			if op.isSecondConn && !c.lasted(op, log) {
				continue
			}
			if op.session != session || op.verdict == node.VerdictNotRun || (op.verdict == node.VerdictUnknown && !(op.isWrite && ran)) {
				continue
			}
			end := int64(op.endedAt)
			if op.verdict == node.VerdictUnknown {
				end = math.MaxInt64
			}
			history = append(history, porcupine.Operation{
				ClientId: session, Input: registerInput{op.isWrite, op.value}, Output: op.result,
				Call: int64(op.startedAt), Return: end,
			})
		}
		if !porcupine.CheckOperations(model, withOwnClients(history)) {
			c.w.fail("the register of session %d is not linearizable", session)
		}
	}
}

// lasted reports whether a read saw nothing or a write that was acknowledged
// and not lost by a failover. A second connection may see a write before that,
// and then no more; it is no write of the session's until it is acknowledged.
func (c *callers) lasted(op *operation, log []record) bool {
	if op.result == 0 {
		return true
	}
	for n := len(c.ops) - 1; n >= 0; n-- {
		if o := c.ops[n]; o.isWrite && o.session == op.session && o.value == op.result {
			return o.verdict == node.VerdictDone && containsWrite(log, o)
		}
	}
	return false
}

// withOwnClients gives operations of unknown end a client each, since they may
// overlap with all that follow.
func withOwnClients(h []porcupine.Operation) []porcupine.Operation {
	for n := range h {
		if h[n].Return == math.MaxInt64 {
			h[n].ClientId = 1000 + n
		}
	}
	return h
}
