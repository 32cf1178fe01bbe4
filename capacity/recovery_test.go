package capacity

import (
	"testing"
	"time"
)

// TestRecoveryOfAFleet guards against a fleet whose time to recover grows with
// its size: control's leader is lost, then more than half of the entries for
// 1.7 s. One leader must follow, and within a second of their return the entries
// must have leases, at 300 entries as at 23.
func TestRecoveryOfAFleet(t *testing.T) {
	const maxAfterReturn = time.Second
	for _, entries := range []int{23, 300} {
		for seed := range uint64(5) {
			r, err := PlayRecovery(RecoveryLoad{Entries: entries, Services: 20, Instances: 3, Voters: 5, Seed: seed})
			if err != nil {
				t.Fatal(err)
			}
			t.Logf("%d entries, seed %d: %+v", entries, seed, r)
			if r.Leaders != 1 || r.AfterReturn > maxAfterReturn {
				t.Errorf("%d entries, seed %d: %d leaders, leases %v after the return", entries, seed, r.Leaders, r.AfterReturn)
			}
		}
	}
}
