package settings

// Policy selects the algorithms that distribute load. The defaults perform
// better. The alternatives are simple baselines for measurements.
type Policy struct {
	Reads  ReadPolicy
	Shares SharePolicy
}

// ReadPolicy determines which upstreams serve reads.
type ReadPolicy string

// Read policies.
const (
	// ReadsReplicas sends a read to a replica that meets its consistency
	// requirements.
	ReadsReplicas ReadPolicy = "replicas"
	// ReadsPrimary sends all reads to the primary.
	ReadsPrimary ReadPolicy = "primary"
)

// SharePolicy determines how control divides the connections of an upstream
// among the entries.
type SharePolicy string

// Share policies.
const (
	// SharesByDemand reassigns unused connections to entries that need them.
	SharesByDemand SharePolicy = "lent"
	// SharesEqual assigns the same number of connections to each entry.
	SharesEqual SharePolicy = "equal"
)

func (s *Settings) readPolicy(t *tableReader) {
	s.Policy = Policy{Reads: ReadsReplicas, Shares: SharesByDemand}
	readString(t, "reads", &s.Policy.Reads)
	readString(t, "shares", &s.Policy.Shares)
	if s.Policy.Reads != ReadsReplicas && s.Policy.Reads != ReadsPrimary {
		t.addFinding("reads", "must be \"replicas\" or \"primary\"")
	}
	if s.Policy.Shares != SharesByDemand && s.Policy.Shares != SharesEqual {
		t.addFinding("shares", "must be \"lent\" or \"equal\"")
	}
	t.reportUnknownKeys()
}
