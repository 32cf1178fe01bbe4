package settings

import "github.com/kingcupknot/kingcupknot/catalog"

func (s *Settings) readServices(t *table) {
	seen := map[catalog.ServiceID]bool{}
	for _, e := range t.children("service") {
		v := s.readService(e)
		if v.ID != "" && seen[v.ID] {
			e.wrong("id", "is given to two services")
		}
		seen[v.ID] = true
		s.Services = append(s.Services, v)
	}
}

func (s *Settings) readService(t *table) catalog.Service {
	v := catalog.Service{Ack: catalog.AckPrimary, Instances: 1}
	required(t, "id", &v.ID)
	readString(t, "ack", &v.Ack)
	t.integer("instances", 1, &v.Instances)
	t.integer("connections", 1, &v.Limits.Connections)
	t.integer("reserved", 0, &v.Limits.Reserved)
	t.integer("slots", 1, &v.Limits.Slots)
	t.integer("local-share", 0, &v.Limits.LocalShare)
	for _, name := range []string{"instances", "connections", "slots"} {
		need(t, name)
	}
	if v.Ack != catalog.AckPrimary && v.Ack != catalog.AckReplicated {
		t.wrong("ack", "must be \"primary\" or \"replicated\"")
	}
	s.checkLimits(t, v.Limits)
	t.finish()
	return v
}

func (s *Settings) checkLimits(t *table, l catalog.Limits) {
	if l.Connections == 0 {
		return
	}
	if l.Reserved >= l.Connections {
		t.wrong("reserved", "must be less than connections (%d)", l.Connections)
		return
	}
	if l.Slots > l.Connections {
		t.wrong("slots", "must not be more than connections (%d)", l.Connections)
	}
	if n := s.mostEntries(); l.LocalShare*n > l.Connections-l.Reserved {
		t.wrong("local-share", "must leave the entries of a site (up to %d) at most"+
			" connections less reserved (%d) together", n, l.Connections-l.Reserved)
	}
}

// mostEntries returns the number of entries of the site that has most.
func (s *Settings) mostEntries() int {
	count := map[catalog.SiteID]int{}
	most := 0
	for _, v := range s.VMs {
		if v.Role == RoleEntry {
			count[v.Site]++
			most = max(most, count[v.Site])
		}
	}
	return most
}
