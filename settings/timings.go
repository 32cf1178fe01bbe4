package settings

import "github.com/kingcupknot/kingcupknot/catalog"

func (s *Settings) readTimings(t *table) {
	s.Timings = catalog.DefaultTimings()
	g := &s.Timings
	t.duration("report", &g.ReportInterval)
	t.duration("probe", &g.ProbeInterval)
	t.duration("probe-timeout", &g.ProbeTimeout)
	t.duration("suspect", &g.SuspectTimeout)
	t.duration("lease", &g.LeaseLength)
	t.duration("drift", &g.MaxDrift)
	t.duration("announce", &g.AnnouncementTTL)
	t.duration("heartbeat", &g.Heartbeat)
	t.duration("election", &g.ElectionTimeout)
	t.duration("drain", &g.DrainTimeout)
	if g.LeaseLength <= 2*g.ReportInterval {
		t.wrong("lease", "must be longer than twice timings.report (%s)", g.ReportInterval)
	}
	if 2*g.MaxDrift >= g.LeaseLength {
		t.wrong("drift", "must be shorter than half of timings.lease (%s)", g.LeaseLength)
	}
	if g.ElectionTimeout <= 2*g.Heartbeat {
		t.wrong("election", "must be longer than twice timings.heartbeat (%s)", g.Heartbeat)
	}
	if g.ProbeTimeout > g.SuspectTimeout {
		t.wrong("probe-timeout", "must not be longer than timings.suspect (%s)", g.SuspectTimeout)
	}
	t.finish()
}
