package listener

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/upstream"
)

// replyKind is the kind of the reply to one message of the extended protocol.
type replyKind uint8

const (
	replyParse replyKind = iota
	replyBind
	replyDescribe
	replyExecute
	replyClose
	// replyLocal is a reply that the entry itself sends, in order with those of
	// the upstream.
	replyLocal
)

// reply is one expected reply.
type reply struct {
	kind replyKind
	// hidden is set if the caller did not send the message that causes the reply.
	hidden bool
	// name is the name at the upstream of the statement that the reply reports as
	// prepared or closed.
	name upstream.StatementName
	// step is the caller's Parse that the reply answers, nil for other replies.
	step *step
	// message is the reply itself if the entry sends it.
	message pgproto3.BackendMessage
}

// translation converts the messages of a batch to messages for one connection.
type translation struct {
	conn *upstream.Conn
	// expected are the replies to come, in order.
	expected []reply
	// prepared are the named statements that the batch prepares on the
	// connection.
	prepared map[upstream.StatementName]bool
	// unnamed is the statement that the batch last prepared as the unnamed one.
	unnamed *prepared
}

// translate queues the messages of a batch in the extended protocol on a
// connection. It returns the replies to expect.
func translate(conn *upstream.Conn, b *batch) []reply {
	t := &translation{conn: conn, prepared: make(map[upstream.StatementName]bool)}
	t.evictStatements(b)
	for _, s := range b.steps {
		t.translateStep(s)
	}
	conn.Send(&pgproto3.Sync{})
	return t.expected
}

// evictStatements makes room for the statements that the batch prepares: it
// closes the least recently used ones.
func (t *translation) evictStatements(b *batch) {
	used := make(map[upstream.StatementName]bool)
	added := 0
	for _, s := range b.steps {
		if s.statement == nil || s.statement.Unnamed || used[s.statement.Name] {
			continue
		}
		used[s.statement.Name] = true
		if !t.conn.Statements.Touch(s.statement.Name) {
			added++
		}
	}
	for _, n := range t.conn.Statements.EvictionCandidates(added, used) {
		t.conn.Send(&pgproto3.Close{ObjectType: 'S', Name: string(n)})
		t.expected = append(t.expected, reply{kind: replyClose, hidden: true, name: n})
	}
}

func (t *translation) translateStep(s *step) {
	switch m := s.message.(type) {
	case *pgproto3.Parse:
		t.parse(s)
	case *pgproto3.Bind:
		out := *m
		out.PreparedStatement = t.statementName(s.statement, m.PreparedStatement)
		t.conn.Send(&out)
		t.expected = append(t.expected, reply{kind: replyBind})
	case *pgproto3.Describe:
		out := *m
		if m.ObjectType == 'S' {
			out.Name = t.statementName(s.statement, m.Name)
		}
		t.conn.Send(&out)
		t.expected = append(t.expected, reply{kind: replyDescribe})
	case *pgproto3.Execute:
		t.conn.Send(m)
		t.expected = append(t.expected, reply{kind: replyExecute})
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			t.expected = append(t.expected, reply{kind: replyLocal, message: &pgproto3.CloseComplete{}})
			return
		}
		t.conn.Send(m)
		t.expected = append(t.expected, reply{kind: replyClose})
	}
}

// parse handles a Parse. If the connection already has the statement, the entry
// replies itself.
func (t *translation) parse(s *step) {
	p := s.statement
	if !p.Unnamed && (t.prepared[p.Name] || t.conn.Statements.Touch(p.Name)) {
		t.expected = append(t.expected, reply{kind: replyLocal, message: &pgproto3.ParseComplete{}, step: s})
		return
	}
	t.prepare(p, s)
}

// prepare sends the Parse of a statement. The step is nil if the batch doesn't
// contain that Parse.
func (t *translation) prepare(p *prepared, s *step) {
	t.conn.Send(&p.Parse)
	t.expected = append(t.expected, reply{kind: replyParse, hidden: s == nil, name: p.Name, step: s})
	if p.Unnamed {
		t.unnamed = p
		return
	}
	t.prepared[p.Name] = true
}

// statementName returns the name of a statement on the connection. It prepares
// the statement there first if necessary.
func (t *translation) statementName(p *prepared, callerName string) string {
	if p == nil {
		return missingName(callerName)
	}
	isPrepared := t.prepared[p.Name] || t.conn.Statements.Touch(p.Name)
	if p.Unnamed {
		isPrepared = t.unnamed == p
	}
	if !isPrepared {
		t.prepare(p, nil)
	}
	return string(p.Name)
}
