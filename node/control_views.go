package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// entryView is the leader's view of one entry.
type entryView struct {
	site catalog.SiteID
	// incarnation and sequence are those of the last accepted report. An older
	// report is dropped, but a lower incarnation is accepted from an entry that
	// has not reported recently.
	incarnation uint64
	sequence    uint64
	// reportedAt is when the report with that sequence arrived, and reportsSince
	// when this leader got the first one of the incarnation.
	reportedAt      catalog.Instant
	reportsSince    catalog.Instant
	settingsVersion catalog.Version
	// aliveWithin is from the last report; lastAliveAt uses it.
	aliveWithin time.Duration
	leaving     bool
	services    []catalog.ServiceID
	// leases holds the epoch in which, and the time until which, the entry may
	// acknowledge writes, by service.
	leases map[catalog.ServiceID]leaseView
	// upstreamsMark identifies the upstreams that the entry knew at its last
	// report.
	upstreamsMark wire.UpstreamsMark
	// sentRevision is the revision of the upstreams that were last sent to the
	// entry. upstreamsArriveAt is when they must have arrived and the entry must
	// have reported that.
	sentRevision      uint64
	upstreamsArriveAt catalog.Instant
	// preferred holds the services whose upstreams were sent before their turn in
	// this incarnation of the entry.
	preferred map[catalog.ServiceID]bool
	// membersSentAt is when the entry was last sent the list of control VMs.
	membersSentAt catalog.Instant
	// demandsUnchanged and primariesMark are from the last report.
	demandsUnchanged bool
	primariesMark    uint64
	// entriesMark identifies the entries of its site that the entry knew at its
	// last report. entriesPushedAt is when the list was last sent to it outside
	// of an answer to a report.
	entriesMark     uint64
	entriesPushedAt catalog.Instant
	// sentFromVersion is the version that the entry had when settings were last
	// sent to it. sentArrivesAt is when these settings must have arrived.
	sentFromVersion catalog.Version
	sentArrivesAt   catalog.Instant
	// settingsTransfer is how long these settings take on the link of the entry,
	// zero if there were none. settingsRepeats counts how often they were repeated.
	settingsTransfer time.Duration
	settingsRepeats  int
	// work is the work for saturated primaries of the last report.
	work []wire.ServiceWork
	// demands holds the demands of the last report that included them.
	demands []wire.Demand
	// entryCount is the number of entries of all sites that the entry knew at
	// its last report.
	entryCount int
	// entryCountSent is set once this leader has sent the entry that number.
	entryCountSent bool
}

type leaseView struct {
	epoch     catalog.Epoch
	expiresAt catalog.Instant
}

// observation is what an entry observed of an upstream, with times converted to
// this VM's clock.
type observation struct {
	evidence wire.Evidence
	// gatheredAt is when the entry gathered the evidence.
	gatheredAt catalog.Instant
	// reportedAt is when the report with the evidence arrived.
	reportedAt catalog.Instant
	// aliveAt is when the upstream last responded to the entry, zero if it
	// never did.
	aliveAt catalog.Instant
	// failingSince is when the first of the present failures in a row was
	// reported, zero if the last attempt did not fail.
	failingSince catalog.Instant
	// isIdle is set if that was so long before the report that the entry reports
	// the upstream again once it answers.
	isIdle   bool
	role     catalog.Role
	position catalog.Position
}

// isFailing reports whether the last attempt to use the upstream failed.
func (o *observation) isFailing() bool {
	return o.evidence == wire.EvidenceRefused || o.evidence == wire.EvidenceTimeout
}

// upstreamView is the leader's view of one upstream.
type upstreamView struct {
	announcement catalog.Announcement
	announcedAt  catalog.Instant
	// revision is the leader's revision at the last change that must be sent to
	// the entries.
	revision uint64
	// digest is the upstream's part of the digest of the list.
	digest uint64
	// inGroup is set once the upstream is in upstreamsByService.
	inGroup bool
}
