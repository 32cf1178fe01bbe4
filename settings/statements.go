package settings

import "github.com/kingcupknot/kingcupknot/catalog"

func (s *Settings) readStatements(t *table) {
	s.Statements = catalog.DefaultStatements()
	g := &s.Statements
	readString(t, "status", &g.Status)
	readString(t, "promote", &g.Promote)
	t.strings("follow", &g.Follow)
	if g.Status == "" {
		t.wrong("status", "must not be empty")
	}
	if g.Promote == "" {
		t.wrong("promote", "must not be empty")
	}
	t.finish()
}
