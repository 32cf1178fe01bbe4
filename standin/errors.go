package standin

import (
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// SQLSTATE codes that the stand-in returns.
const (
	codeProtocolViolation    = "08P01"
	codeUniqueViolation      = "23505"
	codeReadOnly             = "25006"
	codeFailedTransaction    = "25P02"
	codePassword             = "28P01"
	codeSerializationFailure = "40001"
	codeDeadlock             = "40P01"
	codeSyntax               = "42601"
	codeInvalidText          = "22P02"
	codeNoStatement          = "26000"
	codeNoPortal             = "34000"
	codeNotInRecovery        = "55000"
	codeLockTimeout          = "55P03"
	codeTooManyConnections   = "53300"
	codeCanceled             = "57014"
)

// sqlError is an error with the SQLSTATE code and message that the client
// receives.
type sqlError struct {
	code    string
	message string
}

// Error returns the message, followed by the SQLSTATE code.
func (e *sqlError) Error() string {
	return e.message + " (" + e.code + ")"
}

func newSQLError(code, format string, args ...any) error {
	return &sqlError{code: code, message: fmt.Sprintf(format, args...)}
}

func errorResponse(severity string, err error) *pgproto3.ErrorResponse {
	e, ok := err.(*sqlError)
	if !ok {
		e = &sqlError{code: "XX000", message: err.Error()}
	}
	return &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                e.code,
		Message:             e.message,
	}
}
