package ratelimit

import (
	"fmt"
	"testing"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// BenchmarkReport measures the leader's work for one report and its answer with
// 300 entries and 1,000 organisations, all of them limited.
func BenchmarkReport(b *testing.B) {
	now := catalog.Instant(time.Hour)
	a := NewAllocator(Options{ReportInterval: testInterval, ShareLength: testLength}, now)
	a.SetEntryCount(300, 0)
	var ids []catalog.OrganisationID
	for n := range 1000 {
		ids = append(ids, catalog.OrganisationID(fmt.Sprintf("organisation-%04d", n)))
	}
	limit := func(catalog.OrganisationID) Limit { return Limit{Rate: 10, Burst: 5} }
	shares := 0
	for n := 0; n < 3000 || n < b.N; n++ {
		if n == 3000 {
			b.ResetTimer()
		}
		now = now.Add(testInterval / 300)
		usage := make([]Usage, 0, 40)
		for i := range 40 {
			usage = append(usage, Usage{Organisation: ids[(n*7+i*25)%1000], Asked: 4})
		}
		vm := catalog.VMID(fmt.Sprintf("e%03d", n%300))
		a.Report(now, vm, usage, limit)
		shares += len(a.Shares(now, vm))
		a.Changes()
	}
	b.ReportMetric(float64(shares)/float64(max(b.N, 3000)), "shares/op")
}
