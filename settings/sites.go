package settings

import "github.com/kingcupknot/kingcupknot/catalog"

func (s *Settings) readSites(t *tableReader) {
	var names []string
	t.readStrings("sites", &names)
	seen := map[string]bool{}
	for _, n := range names {
		if n == "" || seen[n] {
			t.addFinding("sites", "names site %q twice or leaves a name empty", n)
		}
		seen[n] = true
		s.Sites = append(s.Sites, catalog.SiteID(n))
	}
	if len(names) == 0 && len(t.report.findings) == 0 {
		t.addFinding("sites", "is missing: list all sites")
	}
	readString(t, "site", &s.Site)
	if s.Site != "" {
		s.checkSite(t, "site", s.Site)
	}
}

func (s *Settings) checkSite(t *tableReader, name string, id catalog.SiteID) {
	for _, have := range s.Sites {
		if have == id {
			return
		}
	}
	if id != "" {
		t.addFinding(name, "is %q, which is not one of sites", string(id))
	}
}
