package settings

import "github.com/kingcupknot/kingcupknot/catalog"

func (s *Settings) readTimings(t *table) {
	s.Timings = catalog.DefaultTimings()
	g := &s.Timings
	t.duration("report", &g.ReportInterval)
	t.duration("probe", &g.ProbeInterval)
	t.duration("probe-timeout", &g.ProbeTimeout)
	t.duration("suspect", &g.Suspect)
	t.duration("lease", &g.LeaseLength)
	t.duration("drift", &g.Drift)
	t.duration("announce", &g.Announce)
	t.duration("heartbeat", &g.HeartbeatInterval)
	t.duration("election", &g.ElectionTimeout)
	t.duration("drain", &g.Drain)
	if g.LeaseLength <= 2*g.ReportInterval {
		t.wrong("lease", "must be longer than twice timings.report (%s)", g.ReportInterval)
	}
	if 2*g.Drift >= g.LeaseLength {
		t.wrong("drift", "must be shorter than half of timings.lease (%s)", g.LeaseLength)
	}
	if g.ElectionTimeout <= 2*g.HeartbeatInterval {
		t.wrong("election", "must be longer than twice timings.heartbeat (%s)", g.HeartbeatInterval)
	}
	if g.ProbeTimeout > g.Suspect {
		t.wrong("probe-timeout", "must not be longer than timings.suspect (%s)", g.Suspect)
	}
	t.finish()
}
