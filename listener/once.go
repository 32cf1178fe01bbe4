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

// The statements around a request with an id. Their parameters are quoted.
const (
	onceBegin  = "BEGIN; INSERT INTO kingcupknot_request (key, value) VALUES (%s, %s)"
	onceCommit = "UPDATE kingcupknot_request SET value = %s WHERE key = %s; COMMIT"
	onceRead   = "SELECT value FROM kingcupknot_request WHERE key = %s"
	onceUndo   = "ROLLBACK"
	// tagSeparator stands between the hash and each recorded command tag.
	tagSeparator = ":"
)

// errOnceBroken is why a request with an id has no known outcome.
var errOnceBroken = errors.New("the upstream left the transaction of a request with an id")

// isOnce reports whether the outcome is recorded with the work.
func (r *request) isOnce() bool {
	return r.settings.RequestID != "" && r.kind == node.KindWrite
}

// refusedOnce says why a request can't have an id, if so.
func (r *request) refusedOnce() *fault {
	if !r.isOnce() {
		return nil
	}
	for _, s := range r.batch.sql.Statements {
		if s.Action == statement.ActionEnd || s.Kind == node.KindBegin || s.CopyIn {
			return &fault{
				Code: codeFeature,
				Text: "a request id can't be given with BEGIN, COMMIT or COPY; give it with one autocommit write",
			}
		}
	}
	return nil
}

// hash identifies the work of a batch.
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

// simpleAnswer is the answer to a simple query of the entry's own.
type simpleAnswer struct {
	value   string
	refused *pgproto3.ErrorResponse
}

// exchangeOnce runs the batch in one transaction with the record of its
// outcome. If the id is recorded already, nothing runs.
func (u *run) exchangeOnce() error {
	b, id := u.request.batch, quote(u.request.settings.RequestID)
	u.holding = true
	u.conn.Send(&pgproto3.Query{String: fmt.Sprintf(onceBegin, id, quote(b.hash()))})
	// After a failed INSERT the transaction is a failed one, in which the
	// upstream runs nothing.
	if b.query != nil {
		u.conn.Send(b.query)
	} else {
		u.due = translate(u.conn, b)
	}
	if err := u.write(); err != nil {
		return err
	}
	begun, err := u.readAnswer()
	if err != nil {
		return err
	}
	u.done.Outcome = node.OutcomeCompleted
	u.dropping = begun.refused != nil
	err = u.relay()
	if err == nil {
		err = u.joinWrite()
	}
	if err == nil {
		err = u.endOnce(begun, id)
	}
	if err != nil && u.done.Outcome == node.OutcomeCompleted {
		u.done.Outcome = node.OutcomeLost
	}
	return err
}

// endOnce commits the work, or undoes it and says why.
func (u *run) endOnce(begun simpleAnswer, id string) error {
	switch {
	case begun.refused != nil:
		return u.recall(begun.refused, id)
	case u.status == statusFailed:
		return u.undo()
	case u.status != statusOpen:
		return errOnceBroken
	}
	value := u.request.batch.hash() + tagSeparator + strings.Join(u.tags, tagSeparator)
	u.conn.Send(&pgproto3.Query{String: fmt.Sprintf(onceCommit, quote(value), id)})
	if u.order.QueryPosition {
		u.conn.Send(&pgproto3.Query{String: u.caller.server.options.Pool.Statements().Status})
	}
	asked := u.caller.server.options.Now()
	if err := u.flushUpstream(); err != nil {
		return err
	}
	a, err := u.readAnswer()
	if err != nil {
		return err
	}
	if u.order.QueryPosition {
		if err := u.receivePosition(asked); err != nil {
			return err
		}
	}
	if a.refused == nil {
		return nil
	}
	u.request.held = nil
	if err := u.pass(a.refused); err != nil {
		return err
	}
	return u.undo()
}

// recall answers a request whose record could not be made.
func (u *run) recall(refused *pgproto3.ErrorResponse, id string) error {
	if err := u.undo(); err != nil {
		return err
	}
	u.dropping = false
	switch {
	case refused.Code == codeReadOnly:
		u.done.Outcome = node.OutcomeReadOnly
		return nil
	case refused.Code != codeUniqueViolation:
		return u.pass(refused)
	}
	a, err := u.ask(fmt.Sprintf(onceRead, id))
	if err != nil {
		return err
	}
	if a.refused != nil {
		return u.pass(a.refused)
	}
	hash, tags, _ := strings.Cut(a.value, tagSeparator)
	if hash != u.request.batch.hash() {
		return u.pass((&fault{Code: codeParameter, Text: "request id was used for another request"}).message())
	}
	u.request.recorded, u.request.tags = true, strings.Split(tags, tagSeparator)
	if !u.order.QueryPosition {
		return nil
	}
	asked := u.caller.server.options.Now()
	u.conn.Send(&pgproto3.Query{String: u.caller.server.options.Pool.Statements().Status})
	if err := u.flushUpstream(); err != nil {
		return err
	}
	return u.receivePosition(asked)
}

// undo ends the transaction without effect.
func (u *run) undo() error {
	a, err := u.ask(onceUndo)
	if err != nil {
		return err
	}
	if a.refused != nil || u.status != statusIdle {
		return errOnceBroken
	}
	return nil
}

// ask runs a query of the entry's own.
func (u *run) ask(text string) (simpleAnswer, error) {
	u.conn.Send(&pgproto3.Query{String: text})
	if err := u.flushUpstream(); err != nil {
		return simpleAnswer{}, err
	}
	return u.readAnswer()
}

// readAnswer reads the answer to a query of the entry's own.
func (u *run) readAnswer() (simpleAnswer, error) {
	var a simpleAnswer
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
			refused := *m
			a.refused = &refused
		case *pgproto3.ReadyForQuery:
			u.status = m.TxStatus
			return a, nil
		}
	}
}

// quote returns a text as an SQL literal.
func quote(text string) string {
	return "'" + strings.ReplaceAll(text, "'", "''") + "'"
}
