package settings

import "github.com/kingcupknot/kingcupknot/catalog"

func (s *Settings) readSites(t *table) {
	var names []string
	t.strings("sites", &names)
	seen := map[string]bool{}
	for _, n := range names {
		if n == "" || seen[n] {
			t.wrong("sites", "names site %q twice or leaves a name empty", n)
		}
		seen[n] = true
		s.Sites = append(s.Sites, catalog.SiteID(n))
	}
	if len(names) == 0 && len(t.report.findings) == 0 {
		t.wrong("sites", "is missing: list all sites")
	}
	readString(t, "site", &s.Site)
	if s.Site != "" {
		s.checkSite(t, "site", s.Site)
	}
}

func (s *Settings) checkSite(t *table, name string, id catalog.SiteID) {
	for _, have := range s.Sites {
		if have == id {
			return
		}
	}
	if id != "" {
		t.wrong(name, "is %q, which is not one of sites", string(id))
	}
}
