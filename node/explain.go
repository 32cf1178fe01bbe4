package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/ratelimit"
)

// ExplainQuery asks an entry where a request would go now, without sending it.
type ExplainQuery struct {
	Database string `json:"database"`
	// Kind is read, write, begin or begin-read.
	Kind         string                 `json:"kind"`
	Organisation catalog.OrganisationID `json:"organisation,omitempty"`
	// Floor is the floor of the caller's session.
	Floor catalog.Position `json:"floor,omitzero"`
	// Forwarded is set for a request that another entry of the site passes on.
	Forwarded bool `json:"forwarded,omitempty"`
}

// explainKinds maps the values of ExplainQuery.Kind to kinds of request.
var explainKinds = map[string]RequestKind{"read": KindRead, "write": KindWrite, "begin": KindBegin, "begin-read": KindBeginRead}

// Explanation says where a request would go at one entry and what that depends on.
type Explanation struct {
	Entry ExplainedEntry `json:"entry"`
	// Route is nil if no route in force has the database.
	Route *catalog.Route `json:"route,omitempty"`
	// Organisation is nil for a request without organisation.
	Organisation *ExplainedOrganisation `json:"organisation,omitempty"`
	Forwarding   ExplainedForwarding    `json:"forwarding"`
	Service      ExplainedService       `json:"service"`
	Upstreams    []ExplainedUpstream    `json:"upstreams"`
	Choice       ExplainedChoice        `json:"choice"`
}

// ExplainedEntry is the state of the entry itself.
type ExplainedEntry struct {
	VM      catalog.VMID    `json:"vm"`
	Site    catalog.SiteID  `json:"site"`
	Version catalog.Version `json:"version"`
	Ready   bool            `json:"ready"`
	// ControlAge is the time since control last answered, ReportAge the time since
	// the newest report was sent that a leader has answered.
	ControlAge time.Duration `json:"control-age"`
	ReportAge  time.Duration `json:"report-age"`
}

// ExplainedOrganisation is the limit of the request's organisation.
type ExplainedOrganisation struct {
	ID    catalog.OrganisationID `json:"id"`
	Known bool                   `json:"known"`
	// Rate and Burst are the limit over all entries. A Rate of zero means no limit,
	// and Standing is then nil.
	Rate     float64             `json:"rate"`
	Burst    float64             `json:"burst"`
	Standing *ratelimit.Standing `json:"standing,omitempty"`
	// Admitted is set if the organisation is known and its limit admits the operation.
	Admitted bool `json:"admitted"`
}

// ExplainedForwarding says which entry of the site runs the request.
type ExplainedForwarding struct {
	Owners []catalog.VMID `json:"owners,omitempty"`
	Owner  catalog.VMID   `json:"owner,omitempty"`
	Here   bool           `json:"here"`
	Cause  string         `json:"cause"`
}

// ExplainedService is the state of the request's service.
type ExplainedService struct {
	Epoch   catalog.Epoch      `json:"epoch"`
	Primary catalog.InstanceID `json:"primary,omitempty"`
	Ready   bool               `json:"ready"`
	// LeaseValid is set if this entry holds a lease of the primary. LeaseLeft is the
	// remaining time of the newest lease, negative after its end and zero if there
	// was none.
	LeaseValid bool          `json:"lease-valid"`
	LeaseLeft  time.Duration `json:"lease-left"`
	// LeaseAge is the time since the report was sent to which the newest answer of
	// the leader, which may renew leases, belongs.
	LeaseAge time.Duration `json:"lease-age"`
	// Waiting is the number of requests of the service that wait at this entry.
	Waiting int `json:"waiting"`
	// Floor is the position that a replica must cover to serve the read. It is
	// unknown if no position of the primary is known from within the maximum age.
	Floor      catalog.Position `json:"floor,omitzero"`
	FloorKnown bool             `json:"floor-known"`
}

// ExplainedUpstream is an upstream as the entry knows it when the request arrives.
type ExplainedUpstream struct {
	Instance      catalog.InstanceID `json:"instance"`
	Site          catalog.SiteID     `json:"site"`
	Role          string             `json:"role"`
	Position      catalog.Position   `json:"position,omitzero"`
	PositionKnown bool               `json:"position-known"`
	PositionAge   time.Duration      `json:"position-age"`
	// Covers is yes, no, or likely if the upstream has to verify by itself that it
	// covers the floor. It is empty for a request that no replica may run.
	Covers string `json:"covers,omitempty"`
	// Lag is how far the data was behind the primary when Position was queried. It
	// is zero unless LagKnown is set.
	Lag      time.Duration `json:"lag"`
	LagKnown bool          `json:"lag-known"`
	// Wait is the expected wait for a slot at this entry, Time the expected time at
	// the upstream, and Cost what reads compare upstreams by.
	Wait time.Duration `json:"wait"`
	Time time.Duration `json:"time"`
	Cost time.Duration `json:"cost"`
	// Running is the number of statements that this entry runs at the upstream, and
	// Limit how many it may run. Claimed are the slots claimed by requests that wait
	// for a connection.
	Running int `json:"running"`
	Limit   int `json:"limit"`
	Claimed int `json:"claimed"`
	// Idle is set if an idle connection of the request's organisation is open.
	// OpeningTime is otherwise the expected time to open one.
	Idle        bool          `json:"idle"`
	OpeningTime time.Duration `json:"opening-time"`
	// Open is the number of open connections and Granted how many may be open.
	Open    int `json:"open"`
	Granted int `json:"granted"`
	// Against lists what speaks against the upstream.
	Against []string `json:"against,omitempty"`
}

// Verdicts of an ExplainedChoice.
const (
	ExplainRun     = "run"
	ExplainForward = "forward"
	ExplainWait    = "wait"
	ExplainRefuse  = "refuse"
)

// ExplainedChoice is what would become of the request.
type ExplainedChoice struct {
	Verdict string `json:"verdict"`
	// Upstream runs the request, Entry gets it passed on.
	Upstream catalog.InstanceID `json:"upstream,omitempty"`
	Entry    catalog.VMID       `json:"entry,omitempty"`
	// Cause says why the request waits or is refused.
	Cause string `json:"cause,omitempty"`
	// RetryAfter is the retry time of a refusal. Elsewhere is set if another entry
	// may run the request.
	RetryAfter time.Duration `json:"retry-after,omitempty"`
	Elsewhere  bool          `json:"elsewhere,omitempty"`
}
