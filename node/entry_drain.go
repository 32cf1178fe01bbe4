package node

import (
	"maps"
	"slices"
)

func (e *Entry) takeDrain() {
	if e.draining {
		return
	}
	e.draining = true
	e.leaveBy = e.now.Add(e.options.Timings.DrainTimeout)
	e.report.urgent = true
	e.touchAll()
	e.emit(Log{Part: "entry", Text: "Draining."})
}

// writes reports whether work that needs a lease is in progress or waits.
func (e *Entry) hasPendingWrites() bool {
	for _, id := range e.serviceIDs {
		s := e.services[id]
		if s.writing(s.primary.Epoch) {
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

// settleDrain ends a planned stop once all work has ended, at the latest at
// its deadline.
func (e *Entry) settleDrain() {
	if !e.draining || e.stopped {
		return
	}
	late := !e.now.Before(e.leaveBy)
	if !late && (len(e.requests) > 0 || e.holdsTransaction()) {
		e.wake(e.leaveBy)
		return
	}
	e.abandonRequests()
	for _, id := range e.serviceIDs {
		for _, i := range e.services[id].instances {
			for _, c := range i.conns {
				e.closeConn(c)
			}
		}
	}
	if !late && len(e.conns) > 0 {
		e.wake(e.leaveBy)
		return
	}
	e.sendReport()
	e.stopped = true
	e.emit(Stopped{})
}

// holdsTransaction reports whether a caller's transaction is open, be it held
// here or by another entry.
func (e *Entry) holdsTransaction() bool {
	if len(e.owners.away) > 0 {
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

// abandonRequests answers what the stop's deadline overtook.
func (e *Entry) abandonRequests() {
	for _, id := range slices.Sorted(maps.Keys(e.requests)) {
		if r := e.requests[id]; r.forwardedTo != "" {
			e.answerUnknown(r, "this entry has stopped")
		}
	}
	for _, id := range e.serviceIDs {
		s := e.services[id]
		for class := range s.waiting {
			for _, r := range s.waiting[class] {
				e.refuse(r, "this entry has stopped", retryLeast)
			}
			s.waiting[class] = nil
		}
		for _, r := range append(s.running, s.replicating...) {
			e.answerUnknown(r, "this entry has stopped")
		}
		s.running, s.replicating = nil, nil
	}
}
