package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Effect is one thing the shell must do.
type Effect interface{ effect() }

// SetTimer asks for TimerFired at or soon after At. It replaces the one before.
type SetTimer struct {
	At catalog.Instant
}

// SendPeer sends a message to another process. It may be lost.
type SendMessage struct {
	To      catalog.VMID
	Message wire.Message
}

// OpenConn opens a connection to an upstream. ConnOpened or ConnLost follows.
type OpenConn struct {
	Conn     catalog.ConnID
	Service  catalog.ServiceID
	Instance catalog.InstanceID
	Address  string
	// Deadline bounds the attempt.
	Deadline catalog.Instant
}

// CloseConn closes a connection. ConnLost follows.
type CloseConn struct {
	Conn catalog.ConnID
}

// Probe asks for role and position on an idle connection. ProbeDone follows,
// with EvidenceSilent at the deadline if nothing came by then.
type Probe struct {
	Conn     catalog.ConnID
	Deadline catalog.Instant
}

// RunRequest runs a request on a connection. RequestDone follows. The shell
// streams a read's answer to the caller but holds back the completion of a
// write or a transaction's end until AnswerRequest.
type RunRequest struct {
	Request catalog.RequestID
	Conn    catalog.ConnID
	// Verify asks the shell to ask for the upstream's position first, on the
	// same connection, and to drop the answer as OutcomeBehind if it does not
	// cover Floor by Forks.
	Verify bool
	Floor  catalog.Position
	Forks  catalog.Forks
	// After, if not zero, is the position that the upstream must have reached.
	// It checks that itself and refuses as OutcomeBehind.
	After catalog.Position
	// AskPosition asks for the upstream's position right behind the request.
	QueryPosition bool
	// Hold asks the shell to hold back the whole answer until AnswerRequest,
	// or to stream it after all if it is too large for that.
	BufferAnswer bool
}

// ForwardRequest passes a request on to another entry of the site, which runs
// it for this one. ForwardDone follows.
type ForwardRequest struct {
	Request catalog.RequestID
	To      catalog.VMID
}

// Verdict says what the caller is told.
type Verdict uint8

// Verdicts.
const (
	// VerdictDone passes on the upstream's own answer.
	VerdictDone Verdict = iota
	// VerdictNotRun says that the request did not run and will not.
	VerdictNotRun
	// VerdictUnknown says that the request may have run.
	VerdictUnknown
)

// AnswerRequest ends a request.
type AnswerRequest struct {
	Request catalog.RequestID
	Verdict Verdict
	// Floor is the session's floor from now on, for VerdictDone.
	Floor catalog.Position
	// Reason says why, in a short sentence, for the other verdicts.
	Reason string
	// RetryAfter is the hint when to come back, for VerdictNotRun.
	RetryAfter time.Duration
	// Replica is set if a replica gave the answer.
	FromReplica bool
	// Elsewhere is set for VerdictNotRun if another entry may well run the
	// request.
	RetryElsewhere bool
	// Epoch is that of the primary known, and LeaseLeft how long its lease
	// still ran; negative once it had run out. Both are for the log.
	Epoch     catalog.Epoch
	LeaseLeft time.Duration
}

// Persist writes to the data folder and syncs. Persisted follows. What stands
// after it in the same list does not wait for it.
type Persist struct {
	Token uint64
	Write quorum.Write
}

// Survey asks an upstream for role and position over control's own connection.
// Surveyed follows.
type Survey struct {
	Survey   uint64
	Service  catalog.ServiceID
	Instance catalog.InstanceID
	Address  string
	Deadline catalog.Instant
}

// Promote makes an upstream the primary of its group. Promoted follows.
type Promote struct {
	Service  catalog.ServiceID
	Instance catalog.InstanceID
	Address  string
	Epoch    catalog.Epoch
	// After is the newest term known of the group; the new one must be higher.
	After    catalog.Term
	Deadline catalog.Instant
}

// Follow tells an upstream to replicate from another. Nothing follows.
type Follow struct {
	Service         catalog.ServiceID
	Instance        catalog.InstanceID
	Address         string
	PrimaryInstance catalog.InstanceID
	PrimaryAddress  string
}

// OperatorAnswer ends an operator's command.
type OperatorAnswer struct {
	Number uint64
	Reply  Reply
}

// RoutesChanged brings the routes in force from now on.
type RoutesChanged struct {
	Version catalog.Version
	// Routes are sorted by key. They are not changed afterwards.
	Routes          []catalog.Route
	TransactionIdle time.Duration
}

// ReadinessChanged says whether this entry can serve new callers. Reason is a
// short sentence.
type ReadinessChanged struct {
	Ready  bool
	Reason string
	// Release is set if callers should connect elsewhere by now.
	ReleaseCallers bool
}

// Stopped says that a planned stop is complete; the process may exit.
type Stopped struct{}

// Level orders log lines.
type Level uint8

// Levels.
const (
	LevelInfo Level = iota
	LevelError
)

// Log writes a line. Part is the prefix, Text a short sentence.
type Log struct {
	Level Level
	Part  string
	Text  string
	Pairs []string
}

// Count adds to a counter. The name is in kebab case.
type Count struct {
	Name  string
	Delta int64
}

// Span records a length of time that ends now, such as a wait in a queue or a
// phase of a failover. Request is zero for what belongs to no request.
type Span struct {
	Name    string
	Request catalog.RequestID
	Service catalog.ServiceID
	Start   catalog.Instant
	End     catalog.Instant
}

func (SetTimer) effect()       {}
func (SendMessage) effect()    {}
func (OpenConn) effect()       {}
func (CloseConn) effect()      {}
func (Probe) effect()          {}
func (RunRequest) effect()     {}
func (ForwardRequest) effect() {}
func (AnswerRequest) effect()  {}
func (Persist) effect()        {}
func (Survey) effect()         {}
func (Promote) effect()        {}
func (Follow) effect()         {}
func (OperatorAnswer) effect() {}
func (Stopped) effect()        {}

func (RoutesChanged) effect()    {}
func (ReadinessChanged) effect() {}
func (Log) effect()              {}
func (Count) effect()            {}
func (Span) effect()             {}
