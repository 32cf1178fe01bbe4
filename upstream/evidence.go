package upstream

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"syscall"

	"github.com/jackc/pgx/v5/pgconn"

	"github.com/kingcupknot/kingcupknot/wire"
)

// SQLSTATE codes of an upstream that accepts no statements at present.
const (
	CodeTooManyConnections = "53300"
	CodeAdminShutdown      = "57P01"
	CodeCannotConnectNow   = "57P03"
)

// evidenceFromError returns what a connection error says about the state of the
// upstream: EvidenceRefused if the upstream refused or closed the connection,
// EvidenceTimeout if the upstream didn't respond or couldn't be reached, and
// EvidenceNone otherwise.
func evidenceFromError(err error) wire.Evidence {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		// The upstream answered, but with an error: it may be alive and not
		// ready to serve.
		return wire.EvidenceNone
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return wire.EvidenceRefused
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return wire.EvidenceTimeout
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return wire.EvidenceTimeout
	}
	if errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) {
		return wire.EvidenceTimeout
	}
	var opErr *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &opErr) {
		return wire.EvidenceRefused
	}
	return wire.EvidenceNone
}
