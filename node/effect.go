package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/organisation"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Effect is one action that the shell must execute.
type Effect interface{ effect() }

// SetTimer requests TimerFired at or soon after At. It replaces the previous
// timer.
type SetTimer struct {
	At catalog.Instant
}

// SendMessage sends a message to another process of the system. Delivery is not
// guaranteed.
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
	// Organisation is the organisation whose requests the connection is to run,
	// empty for requests without organisation and for probes.
	Organisation catalog.OrganisationID
	// Deadline is when the attempt to connect is given up.
	Deadline catalog.Instant
}

// CloseConn closes a connection. ConnLost follows.
type CloseConn struct {
	Conn catalog.ConnID
}

// Probe queries an upstream's role and position over an idle connection.
// ProbeDone follows, with wire.EvidenceTimeout if no answer arrived by the
// deadline.
type Probe struct {
	Conn     catalog.ConnID
	Deadline catalog.Instant
}

// RunRequest runs a request on a connection. RequestDone follows. The shell
// streams the answer of a read to the caller, but withholds the completion of a
// write or of a transaction's end until AnswerRequest.
type RunRequest struct {
	Request catalog.RequestID
	Conn    catalog.ConnID
	// Verify makes the shell query the upstream's position first, on the same
	// connection. If that position does not cover Floor, given Forks, the shell
	// discards the answer and reports OutcomeBehind.
	Verify bool
	Floor  catalog.Position
	Forks  catalog.Forks
	// After, if not zero, is the position that the upstream must have reached.
	// The upstream checks it and rejects the request if it has not; the shell
	// reports that as OutcomeBehind.
	After catalog.Position
	// QueryPosition makes the shell query the upstream's position directly
	// after the request.
	QueryPosition bool
	// BufferAnswer makes the shell buffer the whole answer until AnswerRequest.
	// An answer that is too large to buffer is streamed instead.
	BufferAnswer bool
}

// ForwardRequest forwards a request to another entry of the site, which runs it
// on behalf of this one. ForwardDone follows.
type ForwardRequest struct {
	Request catalog.RequestID
	To      catalog.VMID
}

// Verdict says how a request ended for its caller.
type Verdict uint8

const (
	// VerdictDone means that the caller gets the upstream's answer.
	VerdictDone Verdict = iota
	// VerdictNotRun means that the request did not run and will not run.
	VerdictNotRun
	// VerdictUnknown means that the request may have run.
	VerdictUnknown
)

// AnswerRequest ends a request and says how the shell answers the caller.
type AnswerRequest struct {
	Request catalog.RequestID
	Verdict Verdict
	// Floor is the session's new floor, for VerdictDone.
	Floor catalog.Position
	// Reason is a short explanation for the caller, for the other verdicts.
	Reason string
	// RetryAfter is the suggested delay before a retry, for VerdictNotRun.
	RetryAfter time.Duration
	// FromReplica is set if a replica gave the answer.
	FromReplica bool
	// RetryElsewhere is set, for VerdictNotRun, if another entry may be able to
	// run the request.
	RetryElsewhere bool
	// Epoch is the epoch of the known primary. LeaseLeft is the remaining time
	// of its lease, negative if the lease has expired. Both are only logged.
	Epoch     catalog.Epoch
	LeaseLeft time.Duration
}

// Persist writes to the data folder and syncs it. Persisted follows. Later
// effects of the same list do not wait for the sync.
type Persist struct {
	Token uint64
	Write quorum.Write
}

// Survey queries an upstream's role and position over control's own connection.
// SurveyDone follows.
type Survey struct {
	Survey   uint64
	Service  catalog.ServiceID
	Instance catalog.InstanceID
	Address  string
	Deadline catalog.Instant
}

// Promote makes an upstream the primary of its group. PromoteDone follows.
type Promote struct {
	Service  catalog.ServiceID
	Instance catalog.InstanceID
	Address  string
	Epoch    catalog.Epoch
	// After is the highest known term of the group. The new term must be
	// higher.
	After    catalog.Term
	Deadline catalog.Instant
}

// CancelPromotions ends the promotions in progress, since this VM no longer
// leads. PromoteDone may follow for each of them.
type CancelPromotions struct{}

// Follow makes an upstream replicate from another one. No event follows.
type Follow struct {
	Service         catalog.ServiceID
	Instance        catalog.InstanceID
	Address         string
	PrimaryInstance catalog.InstanceID
	PrimaryAddress  string
}

// AnswerCommand answers an operator's command.
type AnswerCommand struct {
	Number uint64
	Reply  Reply
}

// RoutesChanged publishes the routes that are in force.
type RoutesChanged struct {
	Version catalog.Version
	// Routes are sorted by key. The slice is not modified after it is sent.
	Routes          []catalog.Route
	TransactionIdle time.Duration
	// Organisations finds the organisation of a caller's key. It is nil if
	// callers need no key.
	Organisations *organisation.Directory
}

// ReadinessChanged says whether this entry can serve new callers. Reason is a
// short explanation.
type ReadinessChanged struct {
	Ready  bool
	Reason string
	// ReleaseCallers is set if the present callers should reconnect to another
	// entry.
	ReleaseCallers bool
}

// Stopped says that a planned stop is complete and that the process may exit.
type Stopped struct{}

// Level is the severity of a log line.
type Level uint8

// Levels, lowest severity first.
const (
	LevelInfo Level = iota
	LevelError
)

// Log writes a log line. Part names the component, Text is a short sentence,
// and Pairs holds keys and values in turn.
type Log struct {
	Level Level
	Part  string
	Text  string
	Pairs []string
}

// Count adds Delta to the counter Name, which is in kebab case.
type Count struct {
	Name  string
	Delta int64
}

// Span records a duration, such as the wait in a queue or a phase of a
// failover. Request is zero for a span that belongs to no request.
type Span struct {
	Name    string
	Request catalog.RequestID
	Service catalog.ServiceID
	Start   catalog.Instant
	End     catalog.Instant
}

func (SetTimer) effect()         {}
func (SendMessage) effect()      {}
func (OpenConn) effect()         {}
func (CloseConn) effect()        {}
func (Probe) effect()            {}
func (RunRequest) effect()       {}
func (ForwardRequest) effect()   {}
func (AnswerRequest) effect()    {}
func (Persist) effect()          {}
func (Survey) effect()           {}
func (Promote) effect()          {}
func (CancelPromotions) effect() {}
func (Follow) effect()           {}
func (AnswerCommand) effect()    {}
func (Stopped) effect()          {}

func (RoutesChanged) effect()    {}
func (ReadinessChanged) effect() {}
func (Log) effect()              {}
func (Count) effect()            {}
func (Span) effect()             {}
