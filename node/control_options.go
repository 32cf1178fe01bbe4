package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
)

// ControlOptions configures a control reducer.
type ControlOptions struct {
	VM      catalog.VMID
	Timings catalog.Timings
	// Members are the control VMs listed in the settings, in order.
	Members []catalog.VMID
	// Entries maps each entry VM of the settings to its site. Control reserves
	// their local shares and rejects the reports of other VMs. With a nil map,
	// control reserves no local shares and accepts the reports of any entry.
	Entries map[catalog.VMID]catalog.SiteID
	// DistributesUpstreams is set if upstreams announce themselves only to
	// control, which then sends the list of upstreams to the entries.
	DistributesUpstreams bool
	// BalanceSites makes the leader assign shares of saturated primaries to sites
	// by their demand.
	BalanceSites bool
	// Voters is the target number of voting members. Control adds and replaces
	// members to reach it. Zero leaves membership to operators.
	Voters int
	// SurveyTimeout and PromoteAttempts override the defaults if not zero.
	SurveyTimeout   time.Duration
	PromoteAttempts int
	// Services is the initial configuration, which the first leader proposes.
	Services []catalog.Service
	// Saved is the state that was loaded from the data folder at the start.
	Saved         quorum.PersistentState
	SnapshotAfter int // committed records after which a snapshot is made
	// SnapshotAfterBytes bounds the committed records that are kept in memory, as
	// quorum.Settings.SnapshotAfterBytes does.
	SnapshotAfterBytes int
	Seed               uint64 // of the random election timeouts
}
