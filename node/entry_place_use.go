package node

import (
	"slices"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/connplace"
)

// idleCandidates returns the idle connections that may be closed for another
// organisation: those whose organisations have no request that lacks a connection.
// Waiting has the lowest tags of the organisations with waiting requests.
func (i *entryInstance) idleCandidates(waiting map[catalog.OrganisationID]float64, now catalog.Instant) []connplace.Candidate {
	var list []connplace.Candidate
	count := map[catalog.OrganisationID]int{}
	for _, c := range i.conns {
		if c.state == connClosing {
			continue
		}
		count[c.organisation]++
		if c.state != connIdle || slices.Contains(i.place.lacking, c.organisation) {
			continue
		}
		tag, isNeeded := waiting[c.organisation]
		list = append(list, connplace.Candidate{
			IsNeeded: isNeeded, Tag: tag,
			Conn: c.id, Organisation: c.organisation, Nth: count[c.organisation], IdleSince: c.idleSince,
			Reserved: c.organisation != "" && !c.wasUsed && now.Before(c.idleSince.Add(connReservedTime)),
		})
	}
	return list
}

// firstWaiting returns, for the organisations with waiting requests, the lowest tag
// of these.
func (s *entryService) firstWaiting() map[catalog.OrganisationID]float64 {
	out := map[catalog.OrganisationID]float64{}
	for _, q := range s.waiting {
		for _, r := range q {
			if r.connID != 0 {
				continue
			}
			if tag, ok := out[r.Organisation]; !ok || r.tag.Start < tag {
				out[r.Organisation] = r.tag.Start
			}
		}
	}
	return out
}

// waitingTags returns firstWaiting as of the first use in this step. Many requests may
// lack a connection in one step.
func (e *Entry) waitingTags(s *entryService) map[catalog.OrganisationID]float64 {
	if s.waitingTagsStep != e.steps || s.waitingTags == nil {
		s.waitingTags, s.waitingTagsStep = s.firstWaiting(), e.steps
	}
	return s.waitingTags
}

// unneeded returns the candidates for which no request waits.
func unneeded(list []connplace.Candidate) []connplace.Candidate {
	var out []connplace.Candidate
	for _, c := range list {
		if !c.IsNeeded {
			out = append(out, c)
		}
	}
	return out
}

// connReservedTime is how long a new connection is the last to be closed, so that
// the request that it was opened for finds it. Until then its organisation may have
// no recent use.
const connReservedTime = time.Second

// closeLeastUsed closes up to n of the idle connections, those with the lowest
// expected use first.
func (e *Entry) closeLeastUsed(i *entryInstance, list []connplace.Candidate, n int) {
	i.place.uses.SortByUse(list, i.service.serviceTime, e.now)
	for _, x := range list[:max(min(n, len(list)), 0)] {
		e.closeConn(e.conns[x.Conn])
	}
}

// isWorthKeeping reports whether an idle connection of an organisation is expected
// to be used often enough to be kept.
func (e *Entry) isWorthKeeping(c *entryConn) bool {
	if c.organisation == "" {
		return false
	}
	nth := 0
	for _, x := range c.instance.conns {
		if x.organisation == c.organisation && x.state != connClosing && x.id <= c.id {
			nth++
		}
	}
	return c.instance.place.uses.ExpectedUse(c.organisation, nth, c.instance.service.serviceTime, e.now) >= connplace.MinUse
}

// usefulConns returns how many connections requests of organisations need now or
// are worth keeping for them, and zero if there are none of organisations.
func (e *Entry) usefulConns(i *entryInstance) int {
	i.place.wanted = 0
	if !i.servesOrganisations() {
		return 0
	}
	inUse := map[catalog.OrganisationID]int{}
	for _, c := range i.conns {
		if c.state == connBusy || c.state == connHeld {
			inUse[c.organisation]++
		}
	}
	for _, id := range i.place.lacking {
		inUse[id]++
	}
	most := i.service.settings.Limits.Connections
	i.place.wanted = i.place.uses.Wanted(inUse, most, i.service.serviceTime, e.now) + i.place.unplaced
	return i.place.wanted
}

// openingCost returns the time until a request of an organisation would have a
// connection to the upstream.
func (e *Entry) openingCost(i *entryInstance, r *entryRequest) time.Duration {
	if r.Organisation == "" || i.hasIdleFor(r.Organisation) {
		return 0
	}
	cost := i.place.expectedOpeningTime()
	for _, c := range i.conns {
		if c.state == connOpening && c.organisation == r.Organisation {
			cost = min(cost, max(i.place.expectedOpeningTime()-e.now.Sub(c.openedAt), 0))
		}
	}
	return cost
}

// opensNeedlessly reports whether a read needs a new connection at this upstream
// while a replica of the entry's site has an idle connection for it.
func (e *Entry) opensNeedlessly(i *entryInstance, r *entryRequest) bool {
	if r.Organisation == "" || i.hasIdleFor(r.Organisation) {
		return false
	}
	return slices.ContainsFunc(i.service.instances, func(x *entryInstance) bool {
		return x != i && x.id != i.service.primary.Instance && x.inOwnSite && x != r.lastFailed && x.hasIdleFor(r.Organisation) && e.isUsable(x) && !e.isFailing(x)
	})
}
