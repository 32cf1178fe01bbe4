package node

import "github.com/kingcupknot/kingcupknot/catalog"

// NewRequest returns a request that arrives now at the database of a route. The
// floor is that of the caller's session. The caller of NewRequest sets the id and,
// where there are any, the organisation and what concerns forwarding and
// transactions.
func NewRequest(route catalog.Route, kind RequestKind, floor catalog.Position, now catalog.Instant) RequestArrived {
	in := RequestArrived{
		Service: route.Service, Database: route.Database, Kind: kind, Class: classOf(route),
		PrimaryOnly: route.NeedsPrimary(), MaxAge: route.MaxAge,
		Deadline: now.Add(route.Timeout), Objective: route.Objective,
	}
	if route.Reads == catalog.ReadsOwnWrites {
		in.Floor = floor
	}
	return in
}

// classOf returns the admission class for the priority of a route.
func classOf(r catalog.Route) Class {
	return Class(min(max(r.Priority, 0), int(ClassBrowse)))
}
