package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Event is one thing that happened, and when.
type Event struct {
	// Now is the process's clock. Invariant: it never goes back.
	Now   catalog.Instant
	Input Input
}

// Input is the content of an event.
type Input interface{ input() }

// TimerFired follows SetTimer. A spare one does no harm.
type TimerFired struct{}

// PeerReceived brings a message from another process of the system. The shell
// has proved the sender and checked the frame.
type MessageReceived struct {
	From    catalog.VMID
	Message wire.Message
}

// Announced brings an announcement that an upstream sent to this process.
type AnnouncementReceived struct {
	Announcement catalog.Announcement
}

// DrainAsked begins a planned stop.
type DrainRequested struct{}

// RequestKind says what a request needs of an upstream.
type RequestKind uint8

// Kinds of request.
const (
	// KindRead changes nothing and may run at a replica, and again elsewhere.
	KindRead RequestKind = iota
	// KindWrite may change something; it runs at the primary.
	KindWrite
	// KindBegin opens a transaction and keeps its connection.
	KindBegin
	// KindBeginRead opens a read-only transaction and keeps its connection.
	KindBeginRead
	// KindInside runs within an open transaction on the held connection.
	KindInTransaction
)

// Class orders the requests that wait for an upstream.
type Class uint8

// Classes, most urgent first.
const (
	ClassBooking Class = iota
	ClassNormal
	ClassBrowse
	ClassCount
)

// RequestArrived brings a caller's request. It leads, sooner or later, to
// exactly one AnswerRequest, unless RequestWithdrawn comes first.
type RequestArrived struct {
	Request catalog.RequestID
	Service catalog.ServiceID
	// Database is the name that the caller reached the service by. Requests
	// under one name do alike work.
	Database string
	Kind     RequestKind
	Class    Class
	// Held is the connection the caller's transaction holds, for KindInside.
	HeldConn catalog.ConnID
	// Floor is the position that a read must not be older than.
	Floor catalog.Position
	// FloorUnknown is set for a session known by its id alone: the floor is
	// then the primary's position asked for after the request arrived.
	FloorUnknown bool
	// MaxAge, if not zero, is the age of data that the read accepts. Floor
	// holds all the same.
	MaxAge time.Duration
	// Objective is the latency that the caller's operation should keep.
	Objective time.Duration
	// PrimaryOnly keeps a read at the primary.
	PrimaryOnly bool
	// Deadline is when the caller stops waiting.
	Deadline catalog.Instant
	// Waited is how long the caller has waited before this entry got it.
	Waited time.Duration
	// Forwarded is set if another entry passes on a request of its caller. Such
	// a request is not passed on again.
	Forwarded bool
}

// RequestWithdrawn says that the caller of a waiting request is gone. The
// shell sends RequestDone instead if the request already runs.
type RequestCanceled struct {
	Request catalog.RequestID
}

// Outcome says how a request ended at its upstream.
type Outcome uint8

// Outcomes.
const (
	// OutcomeCompleted means that the whole answer arrived, be it a result or
	// the upstream's own error.
	OutcomeCompleted Outcome = iota
	// OutcomeNotSent means that no byte of the request left.
	OutcomeNotSent
	// OutcomeReadOnly means that the upstream refused to write (25006), so
	// that nothing ran.
	OutcomeReadOnly
	// OutcomeBehind means that the position asked for by Verify was not
	// reached; the caller saw nothing of the answer.
	OutcomeBehind
	// OutcomeNotReady means that the upstream takes no statements for now
	// (57P03, 53300); nothing ran.
	OutcomeNotReady
	// OutcomeFailed means that the upstream ran the request and failed. What
	// only reads may run again elsewhere.
	OutcomeFailed
	// OutcomeLost means that bytes left and the connection broke before the
	// whole answer arrived.
	OutcomeLost
)

// RequestDone follows RunRequest.
type RequestDone struct {
	Request catalog.RequestID
	Conn    catalog.ConnID
	Outcome Outcome
	// Position is the upstream's position asked for on the same connection
	// right behind the request, zero if it was not asked for.
	Position catalog.Position
	// AskedAt is when that question was sent.
	PositionQueriedAt catalog.Instant
	// InTransaction is set while the caller's transaction holds Conn.
	InTransaction bool
	// CallerSaw is set once a byte of the answer went to the caller, so that
	// the request can't be run again elsewhere.
	AnswerStarted bool
	// CallerGone is set if the caller vanished while the request ran.
	CallerDisconnected bool
	// Late is set if the answer did not come by the deadline. The shell goes on
	// waiting for it for a while and sends ConnSettled or ConnLost then.
	TimedOut bool
	// Reusable is set if Conn was read to its end and left clean. ConnLost
	// follows if it is not.
	Reusable bool
}

// TransactionDropped says that the caller of an open transaction is gone. The
// shell closes the connection; ConnLost follows.
type TransactionAbandoned struct {
	Conn catalog.ConnID
}

// ConnOpened follows OpenConn.
type ConnOpened struct {
	Conn catalog.ConnID
}

// ConnLost follows OpenConn that failed, CloseConn, or the loss of an open
// connection, whichever is first, and once for each connection.
type ConnLost struct {
	Conn     catalog.ConnID
	Evidence wire.Evidence
}

// ConnSettled says that a late answer has come and the connection is clean.
type ConnReusable struct {
	Conn catalog.ConnID
}

// ProbeDone follows Probe.
type ProbeDone struct {
	Conn catalog.ConnID
	// SentAt is when the question left.
	SentAt   catalog.Instant
	Evidence wire.Evidence
	Role     catalog.Role
	Position catalog.Position
	// Received is how far the upstream holds its group's log; a replica may
	// not show all of that yet.
	Received catalog.Offset
}

// ForwardOutcome says what became of a request that was passed on.
type ForwardOutcome uint8

// Outcomes of passing on.
const (
	// ForwardAnswered means that the other entry has answered. The caller gets
	// that answer, and no AnswerRequest follows.
	ForwardAnswered ForwardOutcome = iota
	// ForwardDeclined means that it did not run there and will not.
	ForwardDeclined
	// ForwardLost means that the other entry fell silent; it may have run.
	ForwardLost
)

// ForwardDone follows ForwardRequest.
type ForwardDone struct {
	Request catalog.RequestID
	Outcome ForwardOutcome
	// Held is set if the request began a transaction that the other entry holds
	// for this one's caller. ForwardEnded follows.
	HoldsTransaction bool
}

// ForwardEnded says that a transaction which another entry held has ended. The
// request is the one that began it.
type ForwardedTransactionEnded struct {
	Request catalog.RequestID
}

// Persisted follows Persist.
type Persisted struct {
	Token uint64
}

// Surveyed follows Survey.
type Surveyed struct {
	Survey   uint64
	Instance catalog.InstanceID
	Evidence wire.Evidence
	Role     catalog.Role
	Position catalog.Position
	// Received is as that of ProbeDone.
	Received catalog.Offset
}

// Held is the position that the upstream would show after a promotion.
func (s Surveyed) PromotionPosition() catalog.Position {
	return catalog.Position{Term: s.Position.Term, Offset: max(s.Position.Offset, s.Received)}
}

// Promoted follows Promote.
type Promoted struct {
	Service  catalog.ServiceID
	Instance catalog.InstanceID
	Epoch    catalog.Epoch
	// OK is set if the instance is a primary now; Position is where it was
	// at the promotion, in its new term.
	OK       bool
	Position catalog.Position
}

// OperatorAsked brings a command from the operators' HTTP interface. It leads
// to exactly one OperatorAnswer.
type OperatorAsked struct {
	Number  uint64
	Command Command
}

// SeedsChanged names other control VMs to ask when those known do not answer.
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
func (Surveyed) input()                  {}
func (Promoted) input()                  {}
func (OperatorAsked) input()             {}
