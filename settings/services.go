package settings

import "github.com/kingcupknot/kingcupknot/catalog"

func (s *Settings) readServices(t *tableReader) {
	seen := map[catalog.ServiceID]bool{}
	for _, e := range t.children("service") {
		v := s.readService(e)
		if v.ID != "" && seen[v.ID] {
			e.addFinding("id", "is given to two services")
		}
		seen[v.ID] = true
		s.Services = append(s.Services, v)
	}
}

func (s *Settings) readService(t *tableReader) catalog.Service {
	v := catalog.Service{Ack: catalog.AckPrimary, Instances: 1}
	readRequired(t, "id", &v.ID)
	if v.ID != "" {
		if err := catalog.CheckText("id", string(v.ID)); err != nil {
			t.addFinding("id", "%s", err.Error())
		}
	}
	readString(t, "ack", &v.Ack)
	t.readInteger("instances", 1, &v.Instances)
	t.readInteger("connections", 1, &v.Limits.Connections)
	t.readInteger("reserved", 0, &v.Limits.Reserved)
	t.readInteger("slots", 1, &v.Limits.Slots)
	t.readInteger("local-share", 0, &v.Limits.LocalShare)
	for _, name := range []string{"instances", "connections", "slots"} {
		requireKey(t, name)
	}
	if v.Ack != catalog.AckPrimary && v.Ack != catalog.AckReplicated {
		t.addFinding("ack", "must be \"primary\" or \"replicated\"")
	}
	s.checkLimits(t, v.Limits)
	t.reportUnknownKeys()
	return v
}

func (s *Settings) checkLimits(t *tableReader, l catalog.Limits) {
	if l.Connections == 0 {
		return
	}
	if l.Reserved >= l.Connections {
		t.addFinding("reserved", "must be less than connections (%d)", l.Connections)
		return
	}
	if l.Slots > l.Connections {
		t.addFinding("slots", "must not be more than connections (%d)", l.Connections)
	}
	if n := s.maxEntriesPerSite(); l.LocalShare*n > l.Connections-l.Reserved {
		t.addFinding("local-share", "must leave the entries of a site (up to %d) at most"+
			" connections less reserved (%d) together", n, l.Connections-l.Reserved)
	}
}

// maxEntriesPerSite returns the number of entries at the site with the most
// entries.
func (s *Settings) maxEntriesPerSite() int {
	count := map[catalog.SiteID]int{}
	highest := 0
	for _, v := range s.VMs {
		if v.Role == RoleEntry {
			count[v.Site]++
			highest = max(highest, count[v.Site])
		}
	}
	return highest
}
