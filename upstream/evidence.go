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

// SQLSTATE codes by which an upstream says that it takes no statements now.
const (
	CodeTooManyConnections = "53300"
	CodeAdminShutdown      = "57P01"
	CodeCannotConnectNow   = "57P03"
)

// evidenceFromError says what a failed use of a connection tells of the upstream.
func evidenceFromError(err error) wire.Evidence {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		// The upstream answered, but is not ready to serve.
		return wire.EvidenceNone
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return wire.EvidenceRefused
	}
	if errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) {
		return wire.EvidenceSilent
	}
	var netErr net.Error
	if errors.As(err, &netErr) && netErr.Timeout() {
		return wire.EvidenceSilent
	}
	if errors.Is(err, syscall.EHOSTUNREACH) || errors.Is(err, syscall.ENETUNREACH) {
		return wire.EvidenceSilent
	}
	var opErr *net.OpError
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &opErr) {
		return wire.EvidenceRefused
	}
	return wire.EvidenceNone
}
