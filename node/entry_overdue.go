package node

import "github.com/kingcupknot/kingcupknot/catalog"

// An upstream may run a read and lose the answer. The entry would learn that only
// at the caller's deadline, and until then the read would occupy a connection and
// one of the statements that this entry may run there. A read is idempotent, so it
// is run again as soon as its answer is overdue. The load that this answers is that
// of an upstream that loses some per cent of its answers.

const (
	// overdueObjectiveDivisor divides the objective of a read; the result is how
	// long its answer may take at least. The second run then ends within the
	// objective.
	overdueObjectiveDivisor = 2
	// overdueLatencyFactor is the number of expected latencies that an answer may
	// take at least. An upstream that is slow for all is not asked again.
	overdueLatencyFactor = 3
)

// overdueAt returns when the answer to a running read is overdue.
func (e *Entry) overdueAt(r *entryRequest) catalog.Instant {
	return r.startedAt.Add(max(r.Objective/overdueObjectiveDivisor, overdueLatencyFactor*r.instance.expectedLatency(e.now)))
}

// closeIfOverdue closes the connection of a read whose answer is overdue, so that
// the read runs again. The retry budget bounds how many reads run twice.
func (e *Entry) closeIfOverdue(c *entryConn) {
	r := c.request
	if !e.options.UpstreamsFromControl || r.Kind != KindRead || r.Objective <= 0 {
		return
	}
	if r.tries+1 >= maxReadTries || r.service.retryTokens < float64(1+r.service.balance.overdue) {
		return
	}
	if at := e.overdueAt(r); at.After(e.now) {
		e.scheduleWake(at)
		return
	}
	e.increment("overdue-reads")
	e.countOverdue(r)
	e.closeConn(c)
}
