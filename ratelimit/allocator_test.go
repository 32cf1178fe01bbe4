package ratelimit

import (
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// TestAllocatorForgets guards against records and shares that remain for an
// organisation that has lost its limit, and for entries that are gone.
func TestAllocatorForgets(t *testing.T) {
	now := catalog.Instant(time.Hour)
	a := NewAllocator(Options{ReportInterval: testInterval, ShareLength: testLength}, now)
	a.SetEntryCount(59, 0)
	limit := Limit{Rate: 10, Burst: 2}
	report := func(vm catalog.VMID, usage ...Usage) []Share {
		a.Report(now, vm, usage, func(catalog.OrganisationID) Limit { return limit })
		return a.Shares(now, vm)
	}
	var first, second []Share
	for range 30 {
		now = now.Add(testInterval)
		first, second = append(first, report("e1", Usage{Organisation: "o", Asked: 100})...), append(second, report("e2")...)
	}
	if len(first) == 0 || len(second) == 0 || !a.IsLimited("o") {
		t.Fatalf("a low limit must give both entries shares: %v, %v", first, second)
	}
	if c := a.Changes(); len(c) != 1 || !c[0].Limited {
		t.Errorf("the changes are %v", c)
	}
	a.Forget("e2")
	limit.Rate = 0
	if s := report("e1", Usage{Organisation: "o", Asked: 100}); len(s) > 0 || a.IsLimited("o") {
		t.Errorf("an organisation without a limit got the shares %v", s)
	}
	if len(a.pools) > 0 || len(a.scarce) > 0 {
		t.Errorf("%d pools and %d low limits remain", len(a.pools), len(a.scarce))
	}
	if c := a.Changes(); len(c) != 1 || c[0].Limited {
		t.Errorf("the changes are %v", c)
	}
}
