package listener

import (
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/upstream"
)

// errAnswerTooLarge is why an answer that can't be held back is given up.
var errAnswerTooLarge = errors.New("the answer after the first completed statement is too large")

// maxBufferedRead is how much of a read's answer is held back, in bytes.
const maxBufferedRead = 256 << 10

// stalePlanMessage begins the error of a prepared statement that the upstream can't
// run any more; only a new Parse helps.
const stalePlanMessage = "cached plan must not change result type"

// relay passes the batch's answer on up to its ReadyForQuery.
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

// handleMessage handles one handleMessage of the answer.
func (u *run) handleMessage(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ErrorResponse:
		return u.handleError(m)
	case *pgproto3.CopyInResponse:
		return u.copyIn(m)
	case *pgproto3.CopyBothResponse:
		return errors.New("the upstream began to replicate")
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

// handleCompletion notes the end of a statement. From the first one on, the answer of
// a batch that may change something waits for the verdict.
func (u *run) handleCompletion(tag string) {
	u.accepted = true
	u.tags = append(u.tags, tag)
	switch {
	case u.request.kind == node.KindRead || u.request.kind == node.KindBeginRead:
	case u.request.kind == node.KindInside && !u.request.batch.sql.Commits():
	default:
		u.buffering = true
	}
	if tag == "COMMIT" {
		u.committed = true
	}
}

// matchExpected takes the answer from those that are due. It reports whether the
// answer is hidden from the caller.
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

// emitLocal gives the answers of the entry that are due now.
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

// forward gives a message to the caller, or holds it back.
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
	if u.effect.Hold && len(held) > maxBufferedRead {
		u.streamBuffered()
		return nil
	}
	if len(held) > u.caller.server.options.MaxMessage {
		return errAnswerTooLarge
	}
	return nil
}

// streamBuffered streams an answer that is too large to be held back.
func (u *run) streamBuffered() {
	u.caller.out.pending = append(u.caller.out.pending, u.request.buffered...)
	u.request.buffered, u.buffering = nil, false
}

// flushCaller writes to the caller when enough gathered, or when the upstream has
// nothing more at hand.
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

// handleError handles an error of the upstream.
func (u *run) handleError(m *pgproto3.ErrorResponse) error {
	u.expected = nil
	if upstream.Fatal(m) {
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

// isNotReady reports whether the upstream said that it takes no statements. Only
// before any other answer does that tell that nothing ran.
func (u *run) isNotReady(m *pgproto3.ErrorResponse) bool {
	if u.request.callerSawAnswer || u.accepted || u.request.kind == node.KindInside {
		return false
	}
	return m.Code == upstream.CodeCannotConnectNow || m.Code == upstream.CodeTooManyConnections
}

// isReadOnlyError reports whether the upstream refused to write although the caller
// did not ask for a read-only transaction.
func (u *run) isReadOnlyError(m *pgproto3.ErrorResponse) bool {
	if m.Code != codeReadOnlyTransaction || u.request.callerSawAnswer || u.committed {
		return false
	}
	return u.request.kind != node.KindInside && !u.request.batch.sql.ReadOnly()
}

// copyIn passes the caller's data on to the upstream.
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

// copyMessage passes one message of a copy on, and reports whether it was the
// last one.
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

func (u *run) flushUpstream() error {
	if u.accepted {
		u.extendDeadline()
	}
	_, err := u.conn.Flush()
	return err
}
