package capacity

// Size is the size that a system is designed for, with the parameters of the
// design.
type Size struct {
	Nodes                float64
	Databases            float64
	Connections          float64
	StatementsPerSecond  float64
	PrimaryChangesPerDay float64
	Regions              float64
	Sites                float64
	ConfigChangesPerDay  float64
	RestartsPerDay       float64

	// Instances is the number of upstreams of a database.
	Instances float64
	// Subscribers is the number of entries that serve a database.
	Subscribers float64
	// Observers is the number of entries that observe a primary, each at a
	// different site.
	Observers float64
	// AnnounceTargets is the number of entries that an upstream announces
	// itself to.
	AnnounceTargets float64
	// Fanout is the number of entries to which a relay forwards a change.
	Fanout float64
	// IntervalSeconds is the time between two reports, two probes of a primary,
	// and two announcements.
	IntervalSeconds float64
}

// DesignSize returns the size that the project is designed for.
func DesignSize() Size {
	return Size{
		Nodes: 4800, Databases: 19000, Connections: 34e6, StatementsPerSecond: 6.8e6, PrimaryChangesPerDay: 42,
		Regions: 4, Sites: 11, ConfigChangesPerDay: 11000, RestartsPerDay: 4400,
		Instances: 3, Subscribers: 8, Observers: 3, AnnounceTargets: 1, Fanout: 8, IntervalSeconds: 1,
	}
}

// Limits of the figures, and values that enter into them. The maxNode limits bound
// what one node spends on control.
const (
	maxNodeCPUPercent     = 1.3
	maxNodeMemoryBytes    = 64e6
	maxNodeBytesPerSecond = 6e3
	maxChangeSeconds      = 4
	maxFailoverSeconds    = 8
	// maxFailoverWorkSeconds is the part of maxFailoverSeconds that remains for
	// the work of the new leader when the site of the old leader is lost. The
	// planned timings use the rest of the 8 s: 0.5 s for the election, 3.1 s for
	// lease and drift, 0.15 s for the survey, 0.35 s for agreement and push, and
	// 2 s for the promotion.
	maxFailoverWorkSeconds = 1.9
	// fullCorePercent is one whole core, the most that a leader's reducer can use.
	fullCorePercent = 100.0
	secondsPerDay   = 86400.0
	maxFrameBytes   = 4 << 20
	// currentReportsPerSecond is the rate of an entry's reports with the default
	// timings.
	currentReportsPerSecond = 10
	// recordsPerSnapshot is the default value of the setting snapshot-after.
	recordsPerSnapshot = 256
	maxSnapshotBytes   = 4<<20 - 4<<10 - 64<<10
	maxCallers         = 10000
	// packetHeaderBytes is the size of a packet's IP and TCP headers, with TCP
	// timestamps.
	packetHeaderBytes = 52
)

// SubscribedDatabases returns the number of databases that one entry serves.
func (z Size) SubscribedDatabases() float64 {
	return z.Databases * z.Subscribers / z.Nodes
}
