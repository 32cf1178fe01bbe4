package settings

// Policy chooses between ways to place work. The defaults are the better ones;
// the others are the plain ones that they are measured against.
type Policy struct {
	Reads  ReadPolicy
	Shares SharePolicy
}

// ReadPolicy says where reads run.
type ReadPolicy string

// Policies of reads.
const (
	// ReadsReplicas sends reads to replicas that satisfy them.
	ReadsReplicas ReadPolicy = "replicas"
	// ReadsPrimary sends all reads to the primary.
	ReadsPrimary ReadPolicy = "primary"
)

// SharePolicy says how entries share the connections of an upstream.
type SharePolicy string

// Policies of shares.
const (
	// SharesByDemand moves connections to the entries that use them.
	SharesByDemand SharePolicy = "lent"
	// SharesEqual keeps the same number for each entry.
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
