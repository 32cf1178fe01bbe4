// Package history records what callers asked and were told, and checks it
// against what a service promises.
package history

import "time"

// Kind says what an operation does.
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

// Writes reports whether operations of the kind change data.
func (k Kind) IsWrite() bool {
	return k != KindRegisterRead && k != KindBrowse
}

// Outcome is what the caller knows of an operation.
type Outcome string

// Outcomes.
const (
	// OutcomeAcknowledged means that the service said it was done.
	OutcomeAcknowledged Outcome = "acknowledged"
	// OutcomeRefused means that it provably did not run.
	OutcomeRefused Outcome = "refused"
	// OutcomeUnknown means that it may have run, or may yet.
	OutcomeUnknown Outcome = "unknown"
	// OutcomeFailed means that the database answered with an error.
	OutcomeFailed Outcome = "failed"
)

// Operation is one request of a caller. Times count from the start of the run.
type Operation struct {
	Service string
	Session string
	Kind    Kind
	// Key names the row, within its service and table.
	Key string
	// Value is what was written or read. Invariant: each key has one writer,
	// whose values rise.
	Value   int64
	Start   time.Duration
	End     time.Duration
	Outcome Outcome
	// Replica is set if the answer came from a replica.
	Replica bool
	// MaxAge is the age that a browsing read accepts.
	MaxAge time.Duration
}
