package listener

import (
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes that the entry gives, or looks for.
const (
	codeFeature         = "0A000"
	codeOutcomeUnknown  = "08007"
	codeProtocol        = "08P01"
	codeParameter       = "22023"
	codeReadOnly        = "25006"
	codeFailed          = "25P02"
	codeAuthorization   = "28000"
	codePassword        = "28P01"
	codeSerialization   = "40001"
	codeDuplicate       = "42P05"
	codeTooManyCallers  = "53300"
	codeLimit           = "54000"
	codeCanceled        = "57014"
	codeNotRun          = "57P03"
	codeUniqueViolation = "23505"
)

// fault is an error that a caller is told.
type fault struct {
	Code string
	Text string
	Hint string
	// Fatal ends the caller's connection.
	Fatal bool
	// Linger keeps reading for a while after a fatal fault, so that a request
	// that crosses it on the way finds it as its answer.
	Linger bool
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
