package listener

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes that the entry gives, or looks for.
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

// fault is an error that a caller is told.
type fault struct {
	Code string
	Text string
	Hint string
	// Fatal ends the caller's connection.
	Fatal bool
	// DrainInput keeps reading for a while after a fatal fault, so that a request
	// that crosses it on the way finds it as its answer.
	DrainInput bool
}

// Error makes a fault an error.
func (f *fault) Error() string {
	return f.Text
}

// message returns the fault as the caller sees it.
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

// retryHint tells a caller when to come back.
func retryHint(after time.Duration) string {
	if after <= 0 {
		return ""
	}
	return fmt.Sprintf("retry after %dms", (after+time.Millisecond-1)/time.Millisecond)
}
