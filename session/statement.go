package session

import (
	"github.com/kingcupknot/kingcupknot/catalog"
)

// Verb is the kind of a statement.
type Verb uint8

// Verbs.
const (
	// VerbUnknown is the verb of a statement that could not be parsed.
	VerbUnknown Verb = iota
	VerbBegin
	VerbBeginRead
	VerbCommit
	VerbRollback
	VerbRead
	VerbWrite
	VerbSet
	VerbPrepare
	VerbExecute
	VerbDeallocate
)

var verbNames = [...]string{
	"unknown", "begin", "begin-read", "commit", "rollback", "read", "write", "set", "prepare", "execute", "deallocate",
}

// String returns the verb in kebab case.
func (v Verb) String() string {
	return verbNames[v]
}

// Statement is a decoded statement of a caller.
type Statement struct {
	// ID is the request id chosen by the caller. Answers and logs repeat it.
	ID   string
	Verb Verb
	// Text is the statement as the caller wrote it.
	Text string
	// Name is the name of the session value for VerbSet, and of the prepared
	// statement for VerbPrepare, VerbExecute and VerbDeallocate.
	Name string
	// Value is the value for VerbSet, the statement's template for VerbPrepare,
	// and the arguments for VerbExecute.
	Value string
	// MayWrite is set for VerbPrepare if the prepared statement may write.
	MayWrite bool
}

// State is the transaction state of a session after an answer.
type State uint8

// States.
const (
	// StateIdle means that no transaction is open.
	StateIdle State = iota
	StateTransaction
	// StateFailed means that the transaction has failed and can only be ended.
	StateFailed
)

// Code classifies the failure of a statement.
type Code uint8

// Codes.
const (
	// CodeNone means that the statement did not fail.
	CodeNone Code = iota
	// CodeBusy means that the statement was not run.
	CodeBusy
	// CodeAborted means that the whole transaction was rolled back.
	CodeAborted
	// CodeInDoubt means that a write may have taken effect.
	CodeInDoubt
	// CodeTimeout means that the answer did not arrive by the deadline.
	CodeTimeout
	// CodeFailed means that the statement ran and failed.
	CodeFailed
	// CodeMalformed means that the statement could not be parsed or is not
	// allowed in the current state.
	CodeMalformed
	// CodeNoDatabase means that no route has the database's name.
	CodeNoDatabase
	// CodeBehind means that the upstream has not reached the required position.
	// The statement was not run.
	CodeBehind
	// CodeReadOnly means that the upstream accepts no writes. The statement was
	// not run.
	CodeReadOnly
	// CodeNoStatement means that the upstream has no such prepared statement.
	// Nothing was run.
	CodeNoStatement
	// CodeUnknownKey means that the caller's key belongs to no organisation.
	CodeUnknownKey
	// CodeOther means any other error. The upstream's error text is forwarded to
	// the caller.
	CodeOther
)

// Reply is an upstream's answer to one command.
type Reply struct {
	// Body is the encoded answer for the caller, without the state at its end.
	Body     []byte
	Code     Code
	State    State
	Position catalog.Position
	// FirstRow is the first row of the result, for the proxy's own queries.
	FirstRow string
}

// Answer is the answer to a caller's statement.
type Answer struct {
	// Body is the body of the upstream's reply, or nil.
	Body []byte
	// Code and Text describe the failure, if any. CodeNone without a Body means
	// success without a result.
	Code     Code
	Text     string
	State    State
	Position catalog.Position
}

// Command is one statement for an upstream. The proxy's own statements have an
// empty ID.
type Command struct {
	ID   string
	Text string
}

// Dialect formats the statements that the proxy itself sends to upstreams.
type Dialect struct {
	Begin    func(readOnly bool) string
	Rollback func() string
	Reset    func() string
	Set      func(name, value string) string
	Prepare  func(name string, writes bool, template string) string
	Execute  func(name, arguments string) string
	// RequirePosition adds a minimum position to the text of a read or a begin.
	// An upstream that has not reached the position refuses the statement.
	RequirePosition func(p catalog.Position, text string) string
	// StatusQuery returns the query for the upstream's role and position.
	StatusQuery func() string
}
