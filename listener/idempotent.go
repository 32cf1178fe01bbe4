package listener

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/statement"
	"github.com/kingcupknot/kingcupknot/upstream"
)

// The statements that record the outcome of a request with a request id. Their
// parameters are SQL literals.
const (
	idempotentBegin    = "BEGIN; INSERT INTO kingcupknot_request (key, value) VALUES (%s, %s)"
	idempotentCommit   = "UPDATE kingcupknot_request SET value = %s WHERE key = %s; COMMIT"
	idempotentRead     = "SELECT value FROM kingcupknot_request WHERE key = %s"
	idempotentRollback = "ROLLBACK"
	// tagSeparator separates the hash and the command tags in a record.
	tagSeparator = ":"
)

// errTransactionLeft reports that the transaction of a request with a request id
// is in an unexpected state, so that the outcome of the request is unknown.
var errTransactionLeft = errors.New("the upstream left the transaction of a request with a request id")

// isIdempotent reports whether the request runs at most once: it is a write with
// a request id, and its outcome is recorded in the same transaction.
func (r *request) isIdempotent() bool {
	return r.settings.RequestID != "" && r.kind == node.KindWrite
}

// idempotencyFault returns a fault if the request has a request id but can't run
// with one.
func (r *request) idempotencyFault() *fault {
	if !r.isIdempotent() {
		return nil
	}
	for _, s := range r.batch.sql.Statements {
		if s.Action == statement.ActionEnd || s.Kind == node.KindBegin || s.CopyIn {
			return &fault{
				Code: codeNotSupported,
				Text: "a request id can't be given with BEGIN, COMMIT or COPY; give it with one autocommit write",
			}
		}
	}
	return nil
}

// hash returns a hash of the statements and parameters of a batch.
func (b *batch) hash() string {
	h := sha256.New()
	var size [8]byte
	for _, part := range b.digest {
		binary.BigEndian.PutUint64(size[:], uint64(len(part)))
		if part == nil {
			binary.BigEndian.PutUint64(size[:], ^uint64(0))
		}
		h.Write(size[:])
		h.Write(part)
	}
	return hex.EncodeToString(h.Sum(nil))
}

// queryResult is the result of a query that the entry itself sends: the first
// column of the last row, or an error.
type queryResult struct {
	value   string
	failure *pgproto3.ErrorResponse
}

// exchangeIdempotent runs the batch and records its outcome in one transaction.
// If the request id is already recorded, the batch doesn't run.
func (u *run) exchangeIdempotent() error {
	b, id := u.request.batch, quote(u.request.settings.RequestID)
	u.buffering = true
	u.conn.Send(&pgproto3.Query{String: fmt.Sprintf(idempotentBegin, id, quote(b.hash()))})
	// If the INSERT fails, so does the transaction, and the upstream doesn't run
	// the batch.
	if b.query != nil {
		u.conn.Send(b.query)
	} else {
		u.expected = translate(u.conn, b)
	}
	if err := u.write(); err != nil {
		return err
	}
	begin, err := u.readQueryResult()
	if err != nil {
		return err
	}
	u.result.Outcome = node.OutcomeCompleted
	u.discarding = begin.failure != nil
	err = u.relay()
	if err == nil {
		err = u.waitForWrite()
	}
	if err == nil {
		err = u.finishIdempotent(begin, id)
	}
	if err != nil && u.result.Outcome == node.OutcomeCompleted {
		u.result.Outcome = node.OutcomeLost
	}
	return err
}

// finishIdempotent commits the batch with the record of its outcome. If the batch
// or the commit failed, it rolls back.
func (u *run) finishIdempotent(begin queryResult, id string) error {
	switch {
	case begin.failure != nil:
		return u.answerFromRecord(begin.failure, id)
	case u.status == statusFailed:
		return u.rollBack()
	case u.status != statusOpen:
		return errTransactionLeft
	}
	value := u.request.batch.hash() + tagSeparator + strings.Join(u.tags, tagSeparator)
	u.conn.Send(&pgproto3.Query{String: fmt.Sprintf(idempotentCommit, quote(value), id)})
	if u.effect.QueryPosition {
		u.conn.Send(&pgproto3.Query{String: u.caller.server.options.Pool.Statements().Status})
	}
	askedAt := u.caller.server.options.Now()
	if err := u.flushUpstream(); err != nil {
		return err
	}
	a, err := u.readQueryResult()
	if err != nil {
		return err
	}
	if u.effect.QueryPosition {
		if err := u.receivePosition(askedAt); err != nil {
			return err
		}
	}
	if a.failure == nil {
		return nil
	}
	u.request.buffered = nil
	if err := u.forward(a.failure); err != nil {
		return err
	}
	return u.rollBack()
}

// answerFromRecord answers a request whose record could not be inserted. If the
// record exists already and belongs to an equal request, the answer is the
// recorded outcome.
func (u *run) answerFromRecord(failure *pgproto3.ErrorResponse, id string) error {
	if err := u.rollBack(); err != nil {
		return err
	}
	u.discarding = false
	switch {
	case failure.Code == codeReadOnlyTransaction:
		u.result.Outcome = node.OutcomeReadOnly
		return nil
	case failure.Code != codeUniqueViolation:
		return u.forward(failure)
	}
	a, err := u.query(fmt.Sprintf(idempotentRead, id))
	if err != nil {
		return err
	}
	if a.failure != nil {
		return u.forward(a.failure)
	}
	hash, tags, _ := strings.Cut(a.value, tagSeparator)
	if hash != u.request.batch.hash() {
		return u.forward((&fault{Code: codeInvalidParameter, Text: "request id was used for another request"}).message())
	}
	u.request.isReplay, u.request.tags = true, strings.Split(tags, tagSeparator)
	if !u.effect.QueryPosition {
		return nil
	}
	askedAt := u.caller.server.options.Now()
	u.conn.Send(&pgproto3.Query{String: u.caller.server.options.Pool.Statements().Status})
	if err := u.flushUpstream(); err != nil {
		return err
	}
	return u.receivePosition(askedAt)
}

// rollBack rolls the open transaction back.
func (u *run) rollBack() error {
	a, err := u.query(idempotentRollback)
	if err != nil {
		return err
	}
	if a.failure != nil || u.status != statusIdle {
		return errTransactionLeft
	}
	return nil
}

// query runs a query that the entry itself sends.
func (u *run) query(text string) (queryResult, error) {
	u.conn.Send(&pgproto3.Query{String: text})
	if err := u.flushUpstream(); err != nil {
		return queryResult{}, err
	}
	return u.readQueryResult()
}

// readQueryResult reads the result of a query that the entry itself sent.
func (u *run) readQueryResult() (queryResult, error) {
	var a queryResult
	for {
		m, err := u.conn.Receive()
		if err != nil {
			return a, err
		}
		switch m := m.(type) {
		case *pgproto3.DataRow:
			if len(m.Values) > 0 {
				a.value = string(m.Values[0])
			}
		case *pgproto3.ErrorResponse:
			if upstream.IsFatal(m) {
				return a, pgconn.ErrorResponseToPgError(m)
			}
			failure := *m
			a.failure = &failure
		case *pgproto3.ReadyForQuery:
			u.status = m.TxStatus
			return a, nil
		}
	}
}

// quote returns the text as an SQL literal.
func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
