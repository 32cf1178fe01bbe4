package capacity

// Size is what the system is designed for, with the choices that the design
// makes for it.
type Size struct {
	Nodes                float64
	Databases            float64
	Connections          float64
	StatementsPerSecond  float64 // in a second
	PrimaryChangesPerDay float64 // in a day
	Regions              float64
	Sites                float64
	ConfigChangesPerDay  float64 // of configuration, in a day
	RestartsPerDay       float64 // in a day

	// Instances is the upstreams of a database.
	Instances float64
	// Subscribers is the entries that serve a database.
	Subscribers float64
	// Observers watch a primary, one in each of as many sites.
	Observers float64
	// AnnounceTargets is the entries that an upstream announces itself to.
	AnnounceTargets float64
	// Fanout is how many entries a relay passes a change on to.
	Fanout float64
	// IntervalSeconds is the seconds between two reports, probes of a primary, and
	// announcements.
	IntervalSeconds float64
}

// DesignSize is the size that the project designs for.
func DesignSize() Size {
	return Size{
		Nodes: 4800, Databases: 19000, Connections: 34e6, StatementsPerSecond: 6.8e6, PrimaryChangesPerDay: 42,
		Regions: 4, Sites: 11, ConfigChangesPerDay: 11000, RestartsPerDay: 4400,
		Instances: 3, Subscribers: 8, Observers: 3, AnnounceTargets: 1, Fanout: 8, IntervalSeconds: 1,
	}
}

// Limits of what a node spends on control.
const (
	maxNodeCPUPercent     = 1.3
	maxNodeMemoryBytes    = 64e6
	maxNodeBytesPerSecond = 6e3
	maxChangeSeconds      = 4 // s
	maxFailoverSeconds    = 8 // s
	// maxFailoverWorkSeconds is what the planned timings leave of primaryTime for the
	// leader's own work when a site with the leader is lost: 8 s less election
	// 0.5, lease and drift 3.1, survey 0.15, agreement and push 0.35, and
	// promotion 2.
	maxFailoverWorkSeconds = 1.9 // s
	// fullCorePercent is a whole core, all that one leader's reducer can use.
	fullCorePercent = 100.0
	secondsPerDay   = 86400.0 // a day
	maxFrameBytes   = 4 << 20
	// currentReportsPerSecond is the reports in a second with the default timings.
	currentReportsPerSecond = 10
	// recordsPerSnapshot is the default snapshot-after.
	recordsPerSnapshot = 256
	maxSnapshotBytes   = 4<<20 - 4<<10 - 64<<10
	maxCallers         = 10000
	// packetHeaderBytes is the IP and TCP headers of a packet, with time stamps.
	packetHeaderBytes = 52
)

// SubscribedDatabases is the databases that one entry serves.
func (z Size) SubscribedDatabases() float64 {
	return z.Databases * z.Subscribers / z.Nodes
}
