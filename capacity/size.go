package capacity

// Size is what the system is designed for, with the choices that the design
// makes for it.
type Size struct {
	Nodes               float64
	Databases           float64
	Connections         float64
	StatementsPerSecond float64 // in a second
	PrimaryChanges      float64 // in a day
	Regions             float64
	Sites               float64
	Changes             float64 // of configuration, in a day
	Restarts            float64 // in a day

	// Instances is the upstreams of a database.
	Instances float64
	// Subscribers is the entries that serve a database.
	Subscribers float64
	// Observers watch a primary, one in each of as many sites.
	Observers float64
	// Hearers is the entries that an upstream announces itself to.
	Hearers float64
	// Fanout is how many entries a relay passes a change on to.
	Fanout float64
	// Interval is the seconds between two reports, probes of a primary, and
	// announcements.
	IntervalSeconds float64
}

// DesignSize is the size that the project designs for.
func DesignSize() Size {
	return Size{
		Nodes: 4800, Databases: 19000, Connections: 34e6, StatementsPerSecond: 6.8e6, PrimaryChanges: 42,
		Regions: 4, Sites: 11, Changes: 11000, Restarts: 4400,
		Instances: 3, Subscribers: 8, Observers: 3, Hearers: 1, Fanout: 8, IntervalSeconds: 1,
	}
}

// Limits of what a node spends on control.
const (
	nodePercent = 1.3
	nodeMemory  = 64e6
	nodeBytes   = 6e3
	changeTime  = 4 // s
	primaryTime = 8 // s
	// primaryRest is what the planned timings leave of primaryTime for the
	// leader's own work when a site with the leader is lost: 8 s less election
	// 0.5, lease and drift 3.1, survey 0.15, agreement and push 0.35, and
	// promotion 2.
	primaryRest = 1.9 // s
	// wholeCore is a whole core, all that one leader's reducer can use.
	wholeCore = 100.0
	secondsIn = 86400.0 // a day
	frameMost = 4 << 20
	// reportsNow is the reports in a second with the default timings.
	reportsNow = 10
	// snapshotRecords is the default snapshot-after.
	snapshotRecords = 256
	snapshotMost    = 4<<20 - 4<<10 - 64<<10
	callersMost     = 10000
	// packetHeader is the IP and TCP headers of a packet, with time stamps.
	packetHeader = 52
)

// Subscribed is the databases that one entry serves.
func (z Size) Subscribed() float64 {
	return z.Databases * z.Subscribers / z.Nodes
}
