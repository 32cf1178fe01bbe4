package node

import (
	"fmt"
	"slices"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// explainUpstreams returns the upstreams of the request's service, those that a
// read may run at first, in the order in which the entry prefers them.
func (e *Entry) explainUpstreams(r *entryRequest) []ExplainedUpstream {
	s := r.service
	var proven, likely []*entryInstance
	if r.isRead() && !r.primaryOnly {
		proven, likely = e.readCandidates(r)
	}
	ordered := slices.Concat(proven, likely)
	for _, i := range s.instances {
		if !slices.Contains(ordered, i) {
			ordered = append(ordered, i)
		}
	}
	var out []ExplainedUpstream
	for n, i := range ordered {
		covers := ""
		switch {
		case !r.isRead() || r.primaryOnly || i.id == s.primary.Instance:
		case n < len(proven):
			covers = "yes"
		case n < len(proven)+len(likely):
			covers = "likely"
		default:
			covers = e.coverage(r, i)
		}
		out = append(out, e.explainUpstream(r, i, covers))
	}
	return out
}

// readCandidates returns the replicas that may run a read, as placing finds them.
func (e *Entry) readCandidates(r *entryRequest) (proven, likely []*entryInstance) {
	if !e.options.UpstreamsFromControl {
		return e.candidates(r.service, r)
	}
	floor, known := e.readFloor(r.service, r)
	if !known {
		return nil, nil
	}
	return e.replicasForFloor(r.service, r, floor)
}

// coverage returns whether a replica that is no candidate covers the floor.
func (e *Entry) coverage(r *entryRequest, i *entryInstance) string {
	if floor, known := e.readFloor(r.service, r); known && i.hasReached(floor) {
		return "yes"
	}
	return "no"
}

func (e *Entry) explainUpstream(r *entryRequest, i *entryInstance, covers string) ExplainedUpstream {
	x := ExplainedUpstream{
		Instance: i.id, Site: i.site, Role: "replica", Position: i.position, PositionKnown: i.positionKnown, Covers: covers,
		LagKnown: i.freshnessKnown, Wait: i.expectedWait(e.now), Time: i.expectedLatency(e.now), Cost: e.cost(i, r),
		Running: i.running, Limit: e.concurrencyLimit(i), Claimed: i.claimedSlots(r), Idle: i.hasIdleFor(r.Organisation),
		Open: i.openCount(), Granted: e.connLimit(i, e.now),
	}
	if i.id == r.service.primary.Instance {
		x.Role = "primary"
	}
	if e.options.BalanceSites {
		x.Time = e.expectedTime(i)
	}
	if i.positionQueriedAt != 0 {
		x.PositionAge = e.now.Sub(i.positionQueriedAt)
	}
	if x.LagKnown {
		x.Lag = i.positionQueriedAt.Sub(i.freshAsOf)
	}
	if !x.Idle {
		x.OpeningTime = i.place.expectedOpeningTime()
	}
	x.Against = slices.Concat(e.objections(i), e.roleObjections(r, i, covers))
	if !e.hasSlot(i, r) {
		x.Against = append(x.Against, "no slot is free")
	}
	if !x.Idle {
		x.Against = append(x.Against, "no idle connection")
		if x.Open >= x.Granted {
			x.Against = append(x.Against, "no connection may be opened")
		}
	}
	return x
}

// objections returns what speaks against any new work at the upstream.
func (e *Entry) objections(i *entryInstance) []string {
	var out []string
	add := func(applies bool, text string) {
		if applies {
			out = append(out, text)
		}
	}
	add(!i.service.isSubscribed, "the service is not used here")
	add(i.isLeaving, "leaves")
	add(i.service.isSubscribed && !i.isLeaving && !e.acceptsWork(i), "its announcement is too old")
	add(e.isDrained(i), "drained")
	if e.now.Before(i.pausedUntil) {
		add(true, fmt.Sprintf("paused for %d ms, since it was not ready", i.pausedUntil.Sub(e.now).Milliseconds()))
	}
	add(i.evidence == wire.EvidenceRefused, "failing: refused a connection")
	add(i.evidence == wire.EvidenceTimeout, "failing: did not answer")
	if i.backoff > 0 && e.now.Before(i.openAfter) {
		add(true, fmt.Sprintf("no new connection for %d ms after a failed one", i.openAfter.Sub(e.now).Milliseconds()))
	}
	return out
}

// roleObjections returns what the role of the upstream speaks against the request.
func (e *Entry) roleObjections(r *entryRequest, i *entryInstance, covers string) []string {
	s := r.service
	if i.id != s.primary.Instance {
		switch {
		case !r.isRead() || r.primaryOnly:
			return []string{"the request needs the primary"}
		case covers != "no":
			return nil
		case i.behindCount > 0:
			return []string{fmt.Sprintf("behind: the last %d reads found it too old", i.behindCount)}
		}
		return []string{"behind the floor"}
	}
	var out []string
	if i.role == catalog.RoleReplica {
		out = append(out, "reports that it is a replica")
	}
	switch {
	case !s.primary.Ready:
		out = append(out, "its promotion has not finished")
	case !e.leaseValid(s, s.primary.Epoch, e.now):
		out = append(out, "this entry holds no lease")
	case !e.canStartAtPrimary(s):
		out = append(out, "its lease is being drained")
	}
	return out
}
