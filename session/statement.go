package session

import (
	"github.com/kingcupknot/kingcupknot/catalog"
)

// Verb says what a statement does.
type Verb uint8

// Verbs.
const (
	// VerbUnknown stands for a statement that could not be read.
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

// Statement is one decoded statement of a caller.
type Statement struct {
	// ID is the caller's name for the request; answers and logs repeat it.
	ID   string
	Verb Verb
	// Text is the statement as the caller wrote it.
	Text string
	// Name is that of a session value or of a prepared statement.
	Name string
	// Value is what VerbSet sets, the shape of VerbPrepare, and the arguments
	// of VerbExecute.
	Value string
	// Writes is set in VerbPrepare if the statement prepared may write.
	MayWrite bool
}

// State is that of a session after an answer.
type State uint8

// States.
const (
	// StateIdle means that no transaction is open.
	StateIdle State = iota
	StateTransaction
	// StateFailed means that the transaction can only be ended.
	StateFailed
)

// Code says how a statement failed.
type Code uint8

// Codes.
const (
	// CodeNone means that it did not fail.
	CodeNone Code = iota
	// CodeBusy means that nothing ran.
	CodeBusy
	// CodeAborted means that the transaction was rolled back whole.
	CodeAborted
	// CodeInDoubt means that a write may have taken effect.
	CodeInDoubt
	// CodeTimeout means that the answer did not come in time.
	CodeTimeout
	// CodeFailed means that it ran and failed.
	CodeFailed
	// CodeMalformed means that it could not be read, or not at this point.
	CodeMalformed
	// CodeNoDatabase means that no route has the database's name.
	CodeNoDatabase
	// CodeBehind means that the upstream has not reached the position asked
	// for; nothing ran.
	CodeBehind
	// CodeReadOnly means that the upstream takes no writes; nothing ran.
	CodeReadOnly
	// CodeNoStatement means that the upstream has no such prepared statement;
	// nothing ran.
	CodeNoStatement
	// CodeOther is any other; the upstream's own words are passed on.
	CodeOther
)

// Reply is an upstream's answer to one command.
type Reply struct {
	// Body is what a caller gets, encoded, but for the state at its end.
	Body     []byte
	Code     Code
	State    State
	Position catalog.Position
	// Row is the first row, for the system's own questions.
	Row string
}

// Answer is what a caller gets.
type Answer struct {
	// Body is that of a Reply, or nil.
	Body []byte
	// Code and Text say what failed. CodeNone without a Body is an empty
	// success.
	Code     Code
	Text     string
	State    State
	Position catalog.Position
}

// Command is one statement to an upstream. An empty id marks the system's own.
type Command struct {
	ID   string
	Text string
}

// Dialect writes the system's own statements.
type Dialect struct {
	Begin    func(readOnly bool) string
	Rollback func() string
	Reset    func() string
	Set      func(name, value string) string
	Prepare  func(name string, writes bool, shape string) string
	Execute  func(name, arguments string) string
	// After has a read or a begin refused by an upstream that has not reached
	// the position.
	RequirePosition func(p catalog.Position, text string) string
	// Status asks for role and position.
	Status func() string
}
