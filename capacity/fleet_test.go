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
