package node

import (
	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/fairqueue"
)

type connState uint8

const (
	connOpening connState = iota
	connIdle
	connBusy
	connHeld
	connProbing
	// connAwaitingLateAnswer is a connection whose request was already ended at
	// its deadline, while the upstream's answer is still outstanding.
	connAwaitingLateAnswer
	connClosing
)

// entryConn is one upstream connection. Invariant: at most one request or probe
// uses it at a time.
type entryConn struct {
	id       catalog.ConnID
	instance *entryInstance
	// organisation is the one whose requests the connection runs, empty for
	// requests without organisation and for probes. Invariant: the connection
	// runs no request of another organisation.
	organisation catalog.OrganisationID
	openedAt     catalog.Instant
	// wasUsed is set once a request has run on the connection.
	wasUsed bool
	state   connState
	request *entryRequest
	// inTransaction is set while a caller's transaction uses the connection,
	// mayWrite if that transaction may write, atPrimary if it began at the
	// primary, and epoch is the epoch in which it began.
	inTransaction bool
	mayWrite      bool
	atPrimary     bool
	epoch         catalog.Epoch
	// closeWhenFree is set if the connection must be closed as soon as it is
	// free.
	closeWhenFree bool
	idleSince     catalog.Instant
}

// entryRequest is a request that has not been answered yet.
type entryRequest struct {
	RequestArrived
	service     *entryService
	arrivedAt   catalog.Instant
	arrivalStep uint64
	queuedAt    catalog.Instant
	startedAt   catalog.Instant
	instance    *entryInstance
	connID      catalog.ConnID
	epoch       catalog.Epoch
	atPrimary   bool
	verifyFirst bool
	// floorKnown is set once Floor is the position that the read must cover.
	floorKnown  bool
	tries       int
	verifyCount int
	// mayHaveRun is set once the request may have run at an upstream.
	mayHaveRun bool
	// awaitsReplica is set while the read waits until a replica is proven to be
	// fresh enough.
	awaitsReplica bool
	// mayWrite is set if the request may write, or may commit a transaction
	// that writes.
	mayWrite bool
	// requiredPosition is the position that a replica must have reached to run
	// the read.
	requiredPosition catalog.Position
	// yieldDecided is set once it was decided whether the read yields, that is,
	// does not run at the primary.
	yieldDecided, yields bool
	// siteDecided is set once it was decided whether the read leaves its site, and
	// workCounted once the request is counted as work for the primary.
	siteDecided, leavesSite, workCounted bool
	// isOverdue is set while the connection of an overdue read is being closed.
	isOverdue bool
	// primaryOnly is set if the read must run at the primary, as its caller or
	// the policy demands or because a replica refused it as a write.
	primaryOnly bool
	// forwardedTo is the entry that runs the request, empty if it was not
	// forwarded; forwardCount counts the entries it was forwarded to.
	// runsLocally is set once this entry has to run the request itself.
	forwardedTo  catalog.VMID
	forwardCount int
	runsLocally  bool
	// lackedAt is the upstream at which the request lacked a connection in the
	// step lackedStep.
	lackedAt   *entryInstance
	lackedStep uint64
	// lastFailed is the upstream where the last attempt failed.
	lastFailed *entryInstance
	// reachedPosition is the position that a majority must reach before the
	// request is answered, and doneAt is when the upstream's answer arrived.
	reachedPosition catalog.Position
	doneAt          catalog.Instant
	// tag is the request's place among those of all organisations. hasTag is set
	// once the request was charged to its organisation, and waitsByTag while it
	// waits in the order of tags.
	tag                fairqueue.Tag
	hasTag, waitsByTag bool
	// isAboveShare is set if the request's organisation had used more than its share
	// when this step began to place requests.
	isAboveShare bool
}

func (r *entryRequest) isRead() bool {
	return r.Kind == KindRead || r.Kind == KindBeginRead
}
