package settings

import "github.com/kingcupknot/kingcupknot/catalog"

func (s *Settings) readTimings(t *table) {
	s.Timings = catalog.DefaultTimings()
	g := &s.Timings
	t.duration("report", &g.ReportInterval)
	t.duration("probe", &g.Probe)
	t.duration("probe-timeout", &g.ProbeTimeout)
	t.duration("suspect", &g.Suspect)
	t.duration("lease", &g.Lease)
	t.duration("drift", &g.Drift)
	t.duration("announce", &g.AnnouncementTTL)
	t.duration("heartbeat", &g.Heartbeat)
	t.duration("election", &g.Election)
	t.duration("drain", &g.Drain)
	if g.Lease <= 2*g.ReportInterval {
		t.wrong("lease", "must be longer than twice timings.report (%s)", g.ReportInterval)
	}
	if 2*g.Drift >= g.Lease {
		t.wrong("drift", "must be shorter than half of timings.lease (%s)", g.Lease)
	}
	if g.Election <= 2*g.Heartbeat {
		t.wrong("election", "must be longer than twice timings.heartbeat (%s)", g.Heartbeat)
	}
	if g.ProbeTimeout > g.Suspect {
		t.wrong("probe-timeout", "must not be longer than timings.suspect (%s)", g.Suspect)
	}
	t.finish()
}
