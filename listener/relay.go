package listener

import (
	"strings"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/upstream"
)

// errHeldTooLong is why an answer that can't be held back is given up.
var errHeldTooLong = errors.New("the answer after the first completed statement is too large")

// maxHeldRead is how much of a read's answer is held back, in bytes.
const maxHeldRead = 256 << 10

// stalePlan begins the error of a prepared statement that the upstream can't
// run any more; only a new Parse helps.
const stalePlan = "cached plan must not change result type"

// relay passes the batch's answer on up to its ReadyForQuery.
func (u *run) relay() error {
	for {
		u.emitOwn()
		if err := u.flush(); err != nil {
			return err
		}
		if u.decided && !u.conn.Buffered() {
			u.extend()
		}
		m, err := u.conn.Receive()
		if err != nil {
			return err
		}
		if z, ok := m.(*pgproto3.ReadyForQuery); ok {
			u.status = z.TxStatus
			return nil
		}
		if err := u.message(m); err != nil {
			return err
		}
	}
}

// message handles one message of the answer.
func (u *run) message(m pgproto3.BackendMessage) error {
	switch m := m.(type) {
	case *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		return nil
	case *pgproto3.ErrorResponse:
		return u.failure(m)
	case *pgproto3.CopyInResponse:
		return u.copyIn(m)
	case *pgproto3.CopyBothResponse:
		return errors.New("the upstream began to replicate")
	case *pgproto3.CommandComplete:
		u.completed(string(m.CommandTag))
	case *pgproto3.DataRow, *pgproto3.CopyOutResponse, *pgproto3.EmptyQueryResponse, *pgproto3.PortalSuspended:
		u.decided = true
	}
	if u.settle(m) {
		return nil
	}
	return u.pass(m)
}

// completed notes the end of a statement. From the first one on, the answer of
// a batch that may change something waits for the verdict.
func (u *run) completed(tag string) {
	u.decided = true
	u.tags = append(u.tags, tag)
	switch {
	case u.request.kind == node.KindRead || u.request.kind == node.KindBeginRead:
	case u.request.kind == node.KindInTransaction && !u.request.batch.sql.Commits():
	default:
		u.holding = true
	}
	if tag == "COMMIT" {
		u.committed = true
	}
}

// settle takes the answer from those that are due. It reports whether the
// answer is hidden from the caller.
func (u *run) settle(m pgproto3.BackendMessage) bool {
	kind, ok := kindOfReply(m)
	if !ok || len(u.due) == 0 || u.due[0].kind != kind {
		return false
	}
	d := u.due[0]
	u.due = u.due[1:]
	switch {
	case kind == replyParse && d.name != "":
		u.conn.Statements.Add(d.name)
	case kind == replyClose && d.name != "":
		u.conn.Statements.Remove(d.name)
	}
	if d.step != nil {
		d.step.parsed = true
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

// emitOwn gives the answers of the entry that are due now.
func (u *run) emitOwn() {
	for len(u.due) > 0 && u.due[0].kind == replyOwn {
		d := u.due[0]
		u.due = u.due[1:]
		if d.step != nil {
			d.step.parsed = true
		}
		_ = u.pass(d.own)
	}
}

// pass gives a message to the caller, or holds it back.
func (u *run) pass(m pgproto3.BackendMessage) error {
	if u.dropping {
		return nil
	}
	if !u.holding {
		u.caller.out.add(m)
		return nil
	}
	held, err := m.Encode(u.request.held)
	if err != nil {
		return err
	}
	u.request.held = held
	if u.order.BufferAnswer && len(held) > maxHeldRead {
		u.release()
		return nil
	}
	if len(held) > u.caller.server.options.MaxMessage {
		return errHeldTooLong
	}
	return nil
}

// release streams an answer that is too large to be held back.
func (u *run) release() {
	u.caller.out.pending = append(u.caller.out.pending, u.request.held...)
	u.request.held, u.holding = nil, false
}

// flush writes to the caller when enough gathered, or when the upstream has
// nothing more at hand.
func (u *run) flush() error {
	size := len(u.caller.out.pending)
	if !u.decided || u.dropping || size == 0 {
		return nil
	}
	if size < flushSize && (u.conn.Buffered() || u.holding) {
		return nil
	}
	u.request.saw = true
	return u.caller.out.flush()
}

// failure handles an error of the upstream.
func (u *run) failure(m *pgproto3.ErrorResponse) error {
	u.due = nil
	if upstream.IsFatal(m) {
		if u.unready(m) {
			u.done.Outcome = node.OutcomeNotReady
		}
		return pgconn.ErrorResponseToPgError(m)
	}
	switch {
	case u.dropping:
		return nil
	case u.unready(m):
		u.done.Outcome, u.dropping = node.OutcomeNotReady, true
		return nil
	case u.readOnly(m):
		u.done.Outcome, u.dropping = node.OutcomeReadOnly, true
		return nil
	}
	if m.Code == codeFeature && strings.HasPrefix(m.Message, stalePlan) {
		u.conn.Retire = true
	}
	u.decided, u.request.failed = true, true
	return u.pass(m)
}

// unready reports whether the upstream said that it takes no statements. Only
// before any other answer does that tell that nothing ran.
func (u *run) unready(m *pgproto3.ErrorResponse) bool {
	if u.request.saw || u.decided || u.request.kind == node.KindInTransaction {
		return false
	}
	return m.Code == upstream.CodeCannotConnectNow || m.Code == upstream.CodeTooManyConnections
}

// readOnly reports whether the upstream refused to write although the caller
// did not ask for a read-only transaction.
func (u *run) readOnly(m *pgproto3.ErrorResponse) bool {
	if m.Code != codeReadOnly || u.request.saw || u.committed {
		return false
	}
	return u.request.kind != node.KindInTransaction && !u.request.batch.sql.ReadOnly()
}

// copyIn passes the caller's data on to the upstream.
func (u *run) copyIn(m *pgproto3.CopyInResponse) error {
	if err := u.joinWrite(); err != nil {
		return err
	}
	if u.dropping {
		u.conn.Send(&pgproto3.CopyFail{Message: "not run"})
		return u.flushUpstream()
	}
	u.decided = true
	u.caller.out.add(m)
	u.request.saw = true
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
		case <-u.caller.gone:
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
	if u.decided {
		u.extend()
	}
	_, err := u.conn.Flush()
	return err
}
