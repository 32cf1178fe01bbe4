package node

import (
	"strings"
	"testing"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// violationsOf runs a script after change has modified the entry, and returns
// the violations of invariants that fakeWorld detected.
func violationsOf(t *testing.T, change func(*Entry), script string) string {
	t.Helper()
	w := newFakeWorld(testOptions())
	change(w.entry)
	for _, line := range strings.Split(strings.TrimSpace(script), "\n") {
		if err := w.play(strings.Fields(line)); err != nil {
			t.Fatal(err)
		}
	}
	return strings.Join(w.violations, "\n")
}

const lostControlScript = `upstream a role=primary at=1:100 grant=6
control primary=a epoch=1 term=1 ready=yes
run 300ms
upstream a held=yes
write 1
write 2
write 3
run 50ms
control deaf=yes
run 700ms
`

// TestMissingLeaseCheckIsDetected checks that fakeWorld detects an entry that
// acknowledges a write without a lease.
func TestMissingLeaseCheckIsDetected(t *testing.T) {
	off := func(e *Entry) {
		e.leaseValid = func(*entryService, catalog.Epoch, catalog.Instant) bool { return true }
	}
	if faults := violationsOf(t, func(*Entry) {}, lostControlScript+"done 1"); faults != "" {
		t.Error(faults)
	}
	if faults := violationsOf(t, off, lostControlScript+"done 1"); !strings.Contains(faults, "without a lease") {
		t.Errorf("an entry that ignores leases was not detected: %q", faults)
	}
}

// TestMissingConnLimitIsDetected checks that fakeWorld detects an entry that
// holds more connections than granted.
func TestMissingConnLimitIsDetected(t *testing.T) {
	off := func(e *Entry) {
		e.connLimit = func(*entryInstance, catalog.Instant) int { return 20 }
	}
	if faults := violationsOf(t, func(*Entry) {}, lostControlScript); faults != "" {
		t.Error(faults)
	}
	if faults := violationsOf(t, off, lostControlScript); !strings.Contains(faults, "connections are open") {
		t.Errorf("an entry that ignores grants was not detected: %q", faults)
	}
}
