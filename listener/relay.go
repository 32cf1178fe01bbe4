package listener

import (
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/upstream"
)

// errAnswerTooLarge reports that an answer is too large to be held back until the
// verdict.
var errAnswerTooLarge = errors.New("the answer after the first completed statement is too large")

// maxBufferedRead bounds the part of a read's answer that is held back, in bytes.
const maxBufferedRead = 256 << 10

// stalePlanMessage is the beginning of the error message for a prepared statement
// whose result type has changed. It must be parsed again.
const stalePlanMessage = "cached plan must not change result type"

// relay forwards the upstream's answer to the batch up to its ReadyForQuery.
func (u *run) relay() error {
	for {
		u.emitLocal()
		if err := u.flushCaller(); err != nil {
			return err
		}
		if u.accepted && !u.conn.Buffered() {
			u.extendDeadline()
		}
		m, err := u.conn.Receive()
		if err != nil {
			return err
		}
		if z, ok := m.(*pgproto3.ReadyForQuery); ok {
			u.status = z.TxStatus
			return nil
		}
		if err := u.handleMessage(m); err != nil {
			return err
		}
	}
}

// handleMessage handles one message of the answer.
func (u *run) handleMessage(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ErrorResponse:
		return u.handleError(m)
	case *pgproto3.CopyInResponse:
		return u.copyIn(m)
	case *pgproto3.CopyBothResponse:
		return errors.New("the upstream started a replication stream")
	case *pgproto3.CommandComplete:
		u.handleCompletion(string(m.CommandTag))
	case *pgproto3.DataRow, *pgproto3.CopyOutResponse, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		u.accepted = true
	}
	if u.matchExpected(m) {
		return nil
	}
	return u.forward(m)
}

// handleCompletion records the completion of a statement. From the first
// completion on, the answer to a batch that may write is held back until the
// verdict.
func (u *run) handleCompletion(tag string) {
	u.accepted = true
	u.tags = append(u.tags, tag)
	switch {
	case u.request.kind == node.KindRead || u.request.kind == node.KindBeginRead:
	case u.request.kind == node.KindInTransaction && !u.request.batch.sql.Commits():
	default:
		u.buffering = true
	}
	if tag == "COMMIT" {
		u.committed = true
	}
}

// matchExpected removes the message from the expected replies if it is the next
// of them. It reports whether the message is hidden from the caller.
func (u *run) matchExpected(m pgproto3.BackendMessage) bool {
	kind, ok := kindOfReply(m)
	if !ok || len(u.expected) == 0 || u.expected[0].kind != kind {
		return false
	}
	d := u.expected[0]
	u.expected = u.expected[1:]
	switch {
	case kind == replyParse && d.name != "":
		u.conn.Statements.Add(d.name)
	case kind == replyClose && d.name != "":
		u.conn.Statements.Remove(d.name)
	}
	if d.step != nil {
		d.step.isParsed = true
	}
	return d.hidden
}

// kindOfReply returns the kind of reply that a message completes, if any.
func kindOfReply(m pgproto3.BackendMessage) (replyKind, bool) {
	switch m.(type) {
	case *pgproto3.ParseComplete:
		return replyParse, true
	case *pgproto3.BindComplete:
		return replyBind, true
	case *pgproto3.RowDescription, *pgproto3.NoData:
		return replyDescribe, true
	case *pgproto3.CommandComplete, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		return replyExecute, true
	case *pgproto3.CloseComplete:
		return replyClose, true
	}
	return 0, false
}

// emitLocal forwards the entry's own replies that come next in the order of
// expected replies.
func (u *run) emitLocal() {
	for len(u.expected) > 0 && u.expected[0].kind == replyLocal {
		d := u.expected[0]
		u.expected = u.expected[1:]
		if d.step != nil {
			d.step.isParsed = true
		}
		_ = u.forward(d.message)
	}
}

// forward queues a message for the caller or holds it back.
func (u *run) forward(m pgproto3.BackendMessage) error {
	if u.discarding {
		return nil
	}
	if !u.buffering {
		u.caller.out.add(m)
		return nil
	}
	held, err := m.Encode(u.request.buffered)
	if err != nil {
		return err
	}
	u.request.buffered = held
	if u.effect.BufferAnswer && len(held) > maxBufferedRead {
		u.streamBuffered()
		return nil
	}
	if len(held) > u.caller.server.options.MaxMessage {
		return errAnswerTooLarge
	}
	return nil
}

// streamBuffered queues the part of an answer that was held back, since it has
// become too large, and stops holding the answer back.
func (u *run) streamBuffered() {
	u.caller.out.pending = append(u.caller.out.pending, u.request.buffered...)
	u.request.buffered, u.buffering = nil, false
}

// flushCaller writes the queued messages to the caller once there are enough of
// them, or if no more data of the upstream is buffered.
func (u *run) flushCaller() error {
	size := len(u.caller.out.pending)
	if !u.accepted || u.discarding || size == 0 {
		return nil
	}
	if size < flushSize && (u.conn.Buffered() || u.buffering) {
		return nil
	}
	u.request.callerSawAnswer = true
	return u.caller.out.flush()
}

// handleError handles an ErrorResponse of the upstream.
func (u *run) handleError(m *pgproto3.ErrorResponse) error {
	u.expected = nil
	if upstream.IsFatal(m) {
		if u.isNotReady(m) {
			u.result.Outcome = node.OutcomeNotReady
		}
		return pgconn.ErrorResponseToPgError(m)
	}
	switch {
	case u.discarding:
		return nil
	case u.isNotReady(m):
		u.result.Outcome, u.discarding = node.OutcomeNotReady, true
		return nil
	case u.isReadOnlyError(m):
		u.result.Outcome, u.discarding = node.OutcomeReadOnly, true
		return nil
	}
	if m.Code == codeNotSupported && strings.HasPrefix(m.Message, stalePlanMessage) {
		u.conn.Retire = true
	}
	u.accepted, u.request.failed = true, true
	return u.forward(m)
}

// isNotReady reports whether the error means that the upstream accepts no
// statements and has run nothing. After any other answer the error doesn't show
// that nothing ran.
func (u *run) isNotReady(m *pgproto3.ErrorResponse) bool {
	if u.request.callerSawAnswer || u.accepted || u.request.kind == node.KindInTransaction {
		return false
	}
	return m.Code == upstream.CodeCannotConnectNow || m.Code == upstream.CodeTooManyConnections
}

// isReadOnlyError reports whether the error means that the upstream accepts no
// writes. A caller that asked for a read-only transaction gets such an error
// itself.
func (u *run) isReadOnlyError(m *pgproto3.ErrorResponse) bool {
	if m.Code != codeReadOnlyTransaction || u.request.callerSawAnswer || u.committed {
		return false
	}
	return u.request.kind != node.KindInTransaction && !u.request.batch.sql.ReadOnly()
}

// copyIn forwards the data of COPY FROM STDIN from the caller to the upstream.
func (u *run) copyIn(m *pgproto3.CopyInResponse) error {
	if err := u.waitForWrite(); err != nil {
		return err
	}
	if u.discarding {
		u.conn.Send(&pgproto3.CopyFail{Message: "not run"})
		return u.flushUpstream()
	}
	u.accepted = true
	u.caller.out.add(m)
	u.request.callerSawAnswer = true
	if err := u.caller.out.flush(); err != nil {
		return err
	}
	for {
		select {
		case m := <-u.caller.messages:
			ended, err := u.copyMessage(m)
			if ended || err != nil {
				return err
			}
		case <-u.caller.disconnected:
			return upstream.ErrLost
		}
	}
}

// copyMessage forwards one of the caller's messages during a COPY and reports
// whether it was the last one.
func (u *run) copyMessage(m pgproto3.FrontendMessage) (bool, error) {
	switch m.(type) {
	case *pgproto3.CopyData:
		u.conn.Send(m)
		if u.conn.Unsent() < flushSize {
			return false, nil
		}
		return false, u.flushUpstream()
	case *pgproto3.CopyDone, *pgproto3.CopyFail:
		u.conn.Send(m)
		return true, u.flushUpstream()
	case *pgproto3.Flush, *pgproto3.Sync:
		return false, nil
	}
	u.conn.Send(&pgproto3.CopyFail{Message: "unexpected message during COPY from stdin"})
	return true, u.flushUpstream()
}

// flushUpstream writes the queued messages to the upstream.
func (u *run) flushUpstream() error {
	if u.accepted {
		u.extendDeadline()
	}
	_, err := u.conn.Flush()
	return err
}
