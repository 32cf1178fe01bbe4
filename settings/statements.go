package settings

import "github.com/kingcupknot/kingcupknot/catalog"

func (s *Settings) readStatements(t *tableReader) {
	s.Statements = catalog.DefaultStatements()
	g := &s.Statements
	readString(t, "status", &g.Status)
	readString(t, "promote", &g.Promote)
	t.readStrings("follow", &g.Follow)
	if g.Status == "" {
		t.addFinding("status", "must not be empty")
	}
	if g.Promote == "" {
		t.addFinding("promote", "must not be empty")
	}
	t.reportUnknownKeys()
}
