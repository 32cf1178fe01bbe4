package listener

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes that the entry sends to callers or expects from upstreams.
const (
	codeNotSupported         = "0A000"
	codeOutcomeUnknown       = "08007"
	codeProtocolViolation    = "08P01"
	codeInvalidParameter     = "22023"
	codeReadOnlyTransaction  = "25006"
	codeInFailedTransaction  = "25P02"
	codeInvalidAuthorization = "28000"
	codeInvalidPassword      = "28P01"
	codeSerializationFailure = "40001"
	codeDuplicateStatement   = "42P05"
	codeTooManyCallers       = "53300"
	codeLimitExceeded        = "54000"
	codeQueryCanceled        = "57014"
	codeNotRun               = "57P03"
	codeUniqueViolation      = "23505"
)

// fault is an error that is reported to a caller.
type fault struct {
	Code string
	Text string
	Hint string
	// Fatal is set if the fault closes the caller's connection.
	Fatal bool
	// DrainInput is set if the caller's messages are still read for a while
	// after a fatal fault. A request that the caller sent before it received the
	// fault then gets the fault as its answer.
	DrainInput bool
}

// Error returns the text of the fault.
func (f *fault) Error() string {
	return f.Text
}

// message returns the fault as a protocol message.
func (f *fault) message() *pgproto3.ErrorResponse {
	severity := "ERROR"
	if f.Fatal {
		severity = "FATAL"
	}
	return &pgproto3.ErrorResponse{
		Severity: severity, SeverityUnlocalized: severity,
		Code: f.Code, Message: f.Text, Hint: f.Hint,
	}
}

// retryHint returns a hint with the delay after which the caller should retry,
// or an empty hint if there is no delay.
func retryHint(after time.Duration) string {
	if after <= 0 {
		return ""
	}
	return fmt.Sprintf("retry after %dms", (after+time.Millisecond-1)/time.Millisecond)
}
