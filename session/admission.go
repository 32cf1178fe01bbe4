package session

import (
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// errKeyWithdrawn ends a session whose caller's key belongs to no organisation any
// more.
const errKeyWithdrawn = errors.ConstError("the caller's key belongs to no organisation")

// VerdictUnknownKey is the verdict of a decision on a caller whose key belongs to
// no organisation.
const VerdictUnknownKey = "unknown-key"

// admissionTexts and admissionVerdicts hold what the caller and the log are told
// if the caller may not use the database.
var (
	admissionTexts = map[Code]string{
		CodeNoDatabase: "no database has this name",
		CodeUnknownKey: "no organisation has this key",
	}
	admissionVerdicts = map[Code]string{CodeNoDatabase: "no-database", CodeUnknownKey: VerdictUnknownKey}
)

// admit returns the route of the session's database and sets the caller's
// organisation, both by the configuration in force. The code is not CodeNone if
// the caller may not use the database. It is called when the session starts and
// when each operation begins, so that a key which is withdrawn or moved takes
// effect in open sessions at the end of their transactions.
func (c *session) admit() (catalog.Route, Code) {
	current := c.server.routes.snapshot()
	route, ok := findRoute(current.Routes, c.database)
	if !ok {
		return catalog.Route{}, CodeNoDatabase
	}
	c.organisation = ""
	if current.Organisations == nil {
		return route, CodeNone
	}
	id, ok := current.Organisations.ByKey(c.key)
	if !ok && !route.KeyExempt {
		return catalog.Route{}, CodeUnknownKey
	}
	c.organisation = id
	return route, CodeNone
}

// rejectOperation answers the first statement of an operation that the caller may
// not run. It ends the session if the caller's key is unknown.
func (c *session) rejectOperation(st Statement, code Code) error {
	c.server.logDecision(Decision{Request: st.ID, Database: c.database, Verb: st.Verb, Verdict: admissionVerdicts[code]})
	if err := c.answerError(code, admissionTexts[code]+" any more"); err != nil {
		return err
	}
	if code == CodeUnknownKey {
		return errKeyWithdrawn
	}
	return nil
}
