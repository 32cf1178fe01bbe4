package capacity

import (
	"testing"
	"time"
)

func playFleet(t *testing.T, entries, services, routes int, length time.Duration) Fleet {
	t.Helper()
	r, err := PlayFleet(FleetLoad{
		RecoveryLoad: RecoveryLoad{Entries: entries, Services: services, Instances: 3, Voters: 5},
		Controls:     9, Routes: routes, Length: length, ConfigInterval: time.Second,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%d entries: %+v", entries, r)
	return r
}

// TestFleetIsInformed guards against a model that measures a fleet which does not
// work: each entry must get every version of the configuration, from one leader
// that replaces no primary.
func TestFleetIsInformed(t *testing.T) {
	r := playFleet(t, 30, 120, 315, 12*time.Second)
	if r.Informed != 30 || r.Leaders != 1 || r.Promotions != 0 {
		t.Errorf("%d entries are informed, %d leaders, %d promotions", r.Informed, r.Leaders, r.Promotions)
	}
}

// TestFleetStartsEmpty guards against a leader that is so late when a fleet starts
// with empty disks that no entry gets its first configuration: upstreams, surveys,
// reports and configurations come together then.
func TestFleetStartsEmpty(t *testing.T) {
	r, err := PlayFleet(FleetLoad{
		RecoveryLoad: RecoveryLoad{Entries: 150, Services: 600, Instances: 3, Voters: 5},
		Controls:     9, Routes: 1575, Length: 6 * time.Second, ConfigInterval: 2 * time.Second, StartsEmpty: true,
	})
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("%+v", r)
	if r.Informed != 150 || r.Leaders != 1 || r.FirstInformed > 2*time.Second {
		t.Errorf("%d entries are informed, the first configuration took %v, %d leaders", r.Informed, r.FirstInformed, r.Leaders)
	}
}

// TestFleetFitsIntoMemory guards against a leader whose memory at the start of a
// fleet grows with the product of entries and the length of the lists that each of
// them gets. Half of a control VM's 280 MB are for 300 entries with 1,200 services,
// so that a third of both may take a ninth of these, and half as much again for
// what does not grow with the product.
func TestFleetFitsIntoMemory(t *testing.T) {
	const half, garbageFactor, parts, others = 140e6, 2, 9, 1.5
	r := playFleet(t, 100, 400, 1050, 10*time.Second)
	if used := garbageFactor * (r.LeaderHeap + float64(r.MaxQueued)); used > half/parts*others {
		t.Errorf("the leader uses %.0f MB", used/1e6)
	}
}
