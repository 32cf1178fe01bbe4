package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Event is an input together with the time at which it happened.
type Event struct {
	// Now is the time on the process's clock, which never goes backwards.
	Now   catalog.Instant
	Input Input
}

// Input is the content of an event.
type Input interface{ input() }

// TimerFired follows SetTimer. A TimerFired that no SetTimer requested has no
// effect.
type TimerFired struct{}

// MessageReceived delivers a message from another process of the system. The
// shell has authenticated the sender and verified the frame.
type MessageReceived struct {
	From    catalog.VMID
	Message wire.Message
}

// IsUrgent reports whether an input must not wait behind the others. A leader of
// control whose agreement messages wait behind hundreds of reports loses its
// lead, and an entry whose leases wait behind its callers' requests can't serve
// these.
func IsUrgent(in Input) bool {
	switch v := in.(type) {
	case Persisted:
		return true
	case MessageReceived:
		m := v.Message
		return m.Quorum != nil || m.FenceAck != nil || m.Answer != nil || m.Revoke != nil
	}
	return false
}

// AnnouncementReceived delivers an announcement that an upstream sent to this
// process.
type AnnouncementReceived struct {
	Announcement catalog.Announcement
}

// DrainRequested begins a planned stop. Stopped follows once it is complete.
type DrainRequested struct{}

// RequestKind says what a request requires of an upstream.
type RequestKind uint8

// Kinds of request.
const (
	// KindRead changes nothing. It may run at a replica and may be retried at
	// another upstream.
	KindRead RequestKind = iota
	// KindWrite may change data and runs at the primary.
	KindWrite
	// KindBegin opens a transaction, which holds the connection until it ends.
	KindBegin
	// KindBeginRead opens a read-only transaction, which holds the connection
	// until it ends.
	KindBeginRead
	// KindInTransaction runs within an open transaction, on the connection that
	// the transaction holds.
	KindInTransaction
)

// Class is the priority of a request that waits for an upstream.
type Class uint8

// Classes, highest priority first. ClassCount is their number.
const (
	ClassBooking Class = iota
	ClassNormal
	ClassBrowse
	ClassCount
)

// RequestArrived delivers a caller's request. Exactly one AnswerRequest
// follows, unless RequestCanceled comes first.
type RequestArrived struct {
	Request catalog.RequestID
	Service catalog.ServiceID
	// Database is the name under which the caller reached the service. Requests
	// to the same database are assumed to do similar work.
	Database string
	// Organisation is the organisation of the caller, empty if the caller
	// belongs to none.
	Organisation catalog.OrganisationID
	Kind         RequestKind
	Class        Class
	// HeldConn is the connection that the caller's transaction holds, for
	// KindInTransaction.
	HeldConn catalog.ConnID
	// Floor is the oldest position that a read may show.
	Floor catalog.Position
	// FloorUnknown is set for a session that is identified by its id alone. The
	// floor is then the primary's position, queried after the request arrived.
	FloorUnknown bool
	// MaxAge, if not zero, is the maximum age of the data that the read
	// accepts. Floor applies as well. A read that accepts no age at all has
	// PrimaryOnly.
	MaxAge time.Duration
	// Objective is the latency objective of the caller's operation.
	Objective time.Duration
	// PrimaryOnly forbids running a read at a replica.
	PrimaryOnly bool
	// Deadline is when the caller stops waiting for the answer.
	Deadline catalog.Instant
	// Waited is how long the caller had waited before the request reached this
	// entry.
	Waited time.Duration
	// Forwarded is set for a request that another entry forwarded for its
	// caller. Such a request is not forwarded again.
	Forwarded bool
}

// RequestCanceled says that the caller of a waiting request has disconnected.
// If the request is already running, the shell sends RequestDone instead.
type RequestCanceled struct {
	Request catalog.RequestID
}

// Outcome says how a request ended at its upstream.
type Outcome uint8

const (
	// OutcomeCompleted means that the whole answer arrived, whether a result or
	// an error of the upstream.
	OutcomeCompleted Outcome = iota
	// OutcomeNotSent means that no byte of the request was sent.
	OutcomeNotSent
	// OutcomeReadOnly means that the upstream rejected a write because it is
	// read-only (SQLSTATE 25006). Nothing ran.
	OutcomeReadOnly
	// OutcomeBehind means that the upstream had not reached the position that
	// RunRequest required. No byte of the answer went to the caller.
	OutcomeBehind
	// OutcomeNotReady means that the upstream accepts no statements at present
	// (SQLSTATE 57P03 or 53300), or that the connection was not prepared for
	// the request. Nothing ran.
	OutcomeNotReady
	// OutcomeFailed means that the upstream ran the request and failed. Only a
	// read may be retried at another upstream.
	OutcomeFailed
	// OutcomeLost means that some bytes were sent and the connection broke
	// before the whole answer arrived.
	OutcomeLost
)

// RequestDone follows RunRequest and reports how the request ended.
type RequestDone struct {
	Request catalog.RequestID
	Conn    catalog.ConnID
	Outcome Outcome
	// Position is the upstream's position, queried on the same connection
	// directly after the request. It is zero if it was not queried.
	Position catalog.Position
	// PositionQueriedAt is when the query for Position was sent.
	PositionQueriedAt catalog.Instant
	// InTransaction is set while the caller's transaction holds Conn.
	InTransaction bool
	// AnswerStarted is set once a byte of the answer was sent to the caller.
	// The request can't be retried at another upstream after that.
	AnswerStarted bool
	// CallerDisconnected is set if the caller disconnected while the request
	// ran.
	CallerDisconnected bool
	// TimedOut is set if the answer did not arrive by the deadline. The shell
	// waits a while longer for the answer and then sends ConnReusable or
	// ConnLost.
	TimedOut bool
	// Reusable is set if the answer was read completely and Conn is in a clean
	// state. If it is not set, ConnLost follows.
	Reusable bool
}

// TransactionAbandoned says that the caller of an open transaction has
// disconnected. The shell closes the connection; ConnLost follows.
type TransactionAbandoned struct {
	Conn catalog.ConnID
}

// ConnOpened follows OpenConn when the connection was established.
type ConnOpened struct {
	Conn catalog.ConnID
}

// ConnLost follows a failed OpenConn, a CloseConn or the loss of an open
// connection, whichever comes first. It is sent once per connection.
type ConnLost struct {
	Conn     catalog.ConnID
	Evidence wire.Evidence
}

// ConnReusable says that an answer arrived after its deadline and that its
// connection can be used again.
type ConnReusable struct {
	Conn catalog.ConnID
}

// ProbeDone follows Probe. Role, Position and Received are valid only if
// Evidence is wire.EvidenceAlive.
type ProbeDone struct {
	Conn catalog.ConnID
	// SentAt is when the probe was sent.
	SentAt   catalog.Instant
	Evidence wire.Evidence
	Role     catalog.Role
	Position catalog.Position
	// Received is how much of its group's log the upstream has received. A
	// replica may not have applied all of it yet.
	Received catalog.Offset
}

// ForwardOutcome says how a forwarded request ended.
type ForwardOutcome uint8

const (
	// ForwardAnswered means that the other entry answered. The caller gets that
	// answer, and no AnswerRequest follows.
	ForwardAnswered ForwardOutcome = iota
	// ForwardDeclined means that the other entry did not run the request and
	// will not run it.
	ForwardDeclined
	// ForwardLost means that the other entry stopped responding. The request
	// may have run.
	ForwardLost
)

// ForwardDone follows ForwardRequest and reports how the forwarded request
// ended.
type ForwardDone struct {
	Request catalog.RequestID
	Outcome ForwardOutcome
	// HoldsTransaction is set if the request began a transaction that the other
	// entry holds for this entry's caller. ForwardedTransactionEnded follows.
	HoldsTransaction bool
}

// ForwardedTransactionEnded says that a transaction held by another entry has
// ended. Request is the one that began the transaction.
type ForwardedTransactionEnded struct {
	Request catalog.RequestID
}

// Persisted follows Persist once the write is synced to disk.
type Persisted struct {
	Token uint64
}

// SurveyDone follows Survey. Role, Position and Received are valid only if
// Evidence is wire.EvidenceAlive.
type SurveyDone struct {
	Survey   uint64
	Instance catalog.InstanceID
	Evidence wire.Evidence
	Role     catalog.Role
	Position catalog.Position
	// Received is how much of its group's log the upstream has received. A
	// replica may not have applied all of it yet.
	Received catalog.Offset
}

// PromotionPosition returns the position that the upstream would show after a
// promotion.
func (s SurveyDone) PromotionPosition() catalog.Position {
	return catalog.Position{Term: s.Position.Term, Offset: max(s.Position.Offset, s.Received)}
}

// PromoteDone follows Promote and reports its result.
type PromoteDone struct {
	Service  catalog.ServiceID
	Instance catalog.InstanceID
	Epoch    catalog.Epoch
	// OK is set if the instance is a primary now. Position is then its position
	// at the promotion, in the new term.
	OK       bool
	Position catalog.Position
}

// CommandReceived delivers a command from the operators' HTTP interface.
// Exactly one AnswerCommand follows.
type CommandReceived struct {
	Number  uint64
	Command Command
}

// SeedsChanged replaces the list of control VMs that a process contacts when
// the members that it knows do not respond.
type SeedsChanged struct {
	Control []catalog.VMID
}

func (ConnReusable) input()              {}
func (ForwardDone) input()               {}
func (ForwardedTransactionEnded) input() {}
func (SeedsChanged) input()              {}
func (TimerFired) input()                {}
func (MessageReceived) input()           {}
func (AnnouncementReceived) input()      {}
func (DrainRequested) input()            {}
func (RequestArrived) input()            {}
func (RequestCanceled) input()           {}
func (RequestDone) input()               {}
func (TransactionAbandoned) input()      {}
func (ConnOpened) input()                {}
func (ConnLost) input()                  {}
func (ProbeDone) input()                 {}
func (Persisted) input()                 {}
func (SurveyDone) input()                {}
func (PromoteDone) input()               {}
func (CommandReceived) input()           {}
