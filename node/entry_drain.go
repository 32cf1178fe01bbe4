package node

import (
	"maps"
	"slices"
)

func (e *Entry) handleDrain() {
	if e.draining {
		return
	}
	e.draining = true
	e.drainDeadline = e.now.Add(e.options.Timings.DrainTimeout)
	e.report.urgent = true
	e.markAllDirty()
	e.emit(Log{Part: "entry", Text: "Draining."})
}

// hasPendingWrites reports whether work that needs a lease is running or
// waiting.
func (e *Entry) hasPendingWrites() bool {
	for _, id := range e.serviceIDs {
		s := e.services[id]
		if s.hasWorkUpToEpoch(s.primary.Epoch) {
			return true
		}
		for _, q := range s.waiting {
			for _, r := range q {
				if !r.isRead() {
					return true
				}
			}
		}
	}
	return false
}

// reconcileDrain completes a planned stop once all work has ended, or at the
// drain deadline.
func (e *Entry) reconcileDrain() {
	if !e.draining || e.stopped {
		return
	}
	isOverdue := !e.now.Before(e.drainDeadline)
	if !isOverdue && (len(e.requests) > 0 || e.hasOpenTransaction()) {
		e.scheduleWake(e.drainDeadline)
		return
	}
	e.endRemainingRequests()
	for _, id := range e.serviceIDs {
		for _, i := range e.services[id].instances {
			for _, c := range i.conns {
				e.closeConn(c)
			}
		}
	}
	if !isOverdue && len(e.conns) > 0 {
		e.scheduleWake(e.drainDeadline)
		return
	}
	e.sendReport()
	e.stopped = true
	e.emit(Stopped{})
}

// hasOpenTransaction reports whether a transaction of a caller is open, on a
// connection of this entry or of another one.
func (e *Entry) hasOpenTransaction() bool {
	if len(e.owners.remoteTransactions) > 0 {
		return true
	}
	for _, id := range e.serviceIDs {
		for _, i := range e.services[id].instances {
			for _, c := range i.conns {
				if c.inTransaction && c.state != connClosing {
					return true
				}
			}
		}
	}
	return false
}

// endRemainingRequests answers the requests that are left at the deadline of a
// planned stop: waiting ones as not run, others as unknown.
func (e *Entry) endRemainingRequests() {
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if r := e.requests[id]; r.forwardedTo != "" {
			e.answerUnknown(r, "this entry has stopped")
		}
	}
	for _, id := range e.serviceIDs {
		s := e.services[id]
		for class := range s.waiting {
			for _, r := range s.waiting[class] {
				e.refuse(r, "this entry has stopped", minRetryAfter)
			}
			s.waiting[class] = nil
		}
		for _, r := range append(s.running, s.replicating...) {
			e.answerUnknown(r, "this entry has stopped")
		}
		s.running, s.replicating = nil, nil
	}
}
