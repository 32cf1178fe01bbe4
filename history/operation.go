// Package history records the operations of callers with their outcomes, and
// checks them against the consistency guarantees of a service.
package history

import "time"

// Kind is the kind of an operation.
type Kind string

// Kinds of operations.
const (
	KindBooking       Kind = "booking"
	KindCounter       Kind = "counter"
	KindTransfer      Kind = "transfer"
	KindRegisterWrite Kind = "register-write"
	KindRegisterRead  Kind = "register-read"
	KindBrowse        Kind = "browse"
)

// IsWrite reports whether operations of the kind change data.
func (k Kind) IsWrite() bool {
	return k != KindRegisterRead && k != KindBrowse
}

// Outcome is the result of an operation as its caller knows it.
type Outcome string

const (
	// OutcomeAcknowledged means that the service confirmed the operation.
	OutcomeAcknowledged Outcome = "acknowledged"
	// OutcomeRefused means that the operation provably did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that the operation may have run or may still run.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the database returned an error.
	OutcomeFailed Outcome = "failed"
)

// Operation is one request of a caller. Its times count from the start of the
// run.
type Operation struct {
	Service string
	Session string
	Kind    Kind
	// Key is the key of the row within its service and table.
	Key string
	// Value is the value written or read. Invariant: each key has one writer,
	// which writes increasing values.
	Value   int64
	Start   time.Duration
	End     time.Duration
	Outcome Outcome
	// Replica is set if the answer came from a replica.
	Replica bool
	// MaxAge is the maximum staleness that a browsing read accepts.
	MaxAge time.Duration
}
