package settings

import "github.com/kingcupknot/kingcupknot/catalog"

func (s *Settings) readTimings(t *tableReader) {
	s.Timings = catalog.DefaultTimings()
	g := &s.Timings
	t.readDuration("report", &g.ReportInterval)
	t.readDuration("probe", &g.ProbeInterval)
	t.readDuration("probe-timeout", &g.ProbeTimeout)
	t.readDuration("suspect", &g.SuspectTimeout)
	t.readDuration("lease", &g.LeaseLength)
	t.readDuration("drift", &g.MaxDrift)
	t.readDuration("announce", &g.AnnouncementTTL)
	t.readDuration("heartbeat", &g.HeartbeatInterval)
	t.readDuration("election", &g.ElectionTimeout)
	t.readDuration("drain", &g.DrainTimeout)
	if g.LeaseLength <= 2*g.ReportInterval {
		t.addFinding("lease", "must be longer than twice timings.report (%s)", g.ReportInterval)
	}
	if 2*g.MaxDrift >= g.LeaseLength {
		t.addFinding("drift", "must be shorter than half of timings.lease (%s)", g.LeaseLength)
	}
	if g.ElectionTimeout <= 2*g.HeartbeatInterval {
		t.addFinding("election", "must be longer than twice timings.heartbeat (%s)", g.HeartbeatInterval)
	}
	if g.ProbeTimeout > g.SuspectTimeout {
		t.addFinding("probe-timeout", "must not be longer than timings.suspect (%s)", g.SuspectTimeout)
	}
	t.reportUnknownKeys()
}
