package listener

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/upstream"
)

// replyKind is the kind of answer that an upstream gives to one message.
type replyKind uint8

const (
	replyParse replyKind = iota
	replyBind
	replyDescribe
	replyExecute
	replyClose
	// replyOwn is an answer that the entry gives in its place in the order.
	replyOwn
)

// reply is one answer that is due.
type reply struct {
	kind replyKind
	// hidden is set if the caller did not ask for it.
	hidden bool
	// name is the statement that is prepared or closed with it.
	name upstream.StatementName
	step *step
	own  pgproto3.BackendMessage
}

// translation turns the messages of a batch into those for one connection.
type translation struct {
	conn *upstream.Conn
	// due are the answers to come, in order.
	due []reply
	// sent are the statements that the batch prepares on the connection.
	sent map[upstream.StatementName]bool
	// unnamed is the unnamed statement that the batch left there.
	unnamed *prepared
}

// translate sends a batch in the extended protocol.
func translate(conn *upstream.Conn, b *batch) []reply {
	t := &translation{conn: conn, sent: make(map[upstream.StatementName]bool)}
	t.makeRoom(b)
	for _, s := range b.steps {
		t.step(s)
	}
	conn.Send(&pgproto3.Sync{})
	return t.due
}

// makeRoom closes the statements that were not used for longest.
func (t *translation) makeRoom(b *batch) {
	used := make(map[upstream.StatementName]bool)
	fresh := 0
	for _, s := range b.steps {
		if s.statement == nil || s.statement.Unnamed || used[s.statement.Name] {
			continue
		}
		used[s.statement.Name] = true
		if !t.conn.Statements.Touch(s.statement.Name) {
			fresh++
		}
	}
	for _, n := range t.conn.Statements.EvictionCandidates(fresh, used) {
		t.conn.Send(&pgproto3.Close{ObjectType: 'S', Name: string(n)})
		t.due = append(t.due, reply{kind: replyClose, hidden: true, name: n})
	}
}

func (t *translation) step(s *step) {
	switch m := s.message.(type) {
	case *pgproto3.Parse:
		t.parse(s)
	case *pgproto3.Bind:
		out := *m
		out.PreparedStatement = t.name(s.statement, m.PreparedStatement)
		t.conn.Send(&out)
		t.due = append(t.due, reply{kind: replyBind})
	case *pgproto3.Describe:
		out := *m
		if m.ObjectType == 'S' {
			out.Name = t.name(s.statement, m.Name)
		}
		t.conn.Send(&out)
		t.due = append(t.due, reply{kind: replyDescribe})
	case *pgproto3.Execute:
		t.conn.Send(m)
		t.due = append(t.due, reply{kind: replyExecute})
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			t.due = append(t.due, reply{kind: replyOwn, own: &pgproto3.CloseComplete{}})
			return
		}
		t.conn.Send(m)
		t.due = append(t.due, reply{kind: replyClose})
	}
}

// parse answers a Parse itself if the connection has the statement already.
func (t *translation) parse(s *step) {
	p := s.statement
	if !p.Unnamed && (t.sent[p.Name] || t.conn.Statements.Touch(p.Name)) {
		t.due = append(t.due, reply{kind: replyOwn, own: &pgproto3.ParseComplete{}, step: s})
		return
	}
	t.prepare(p, s)
}

// prepare sends the Parse of a statement. Without a step the caller did not
// ask for it now.
func (t *translation) prepare(p *prepared, s *step) {
	t.conn.Send(&p.Parse)
	t.due = append(t.due, reply{kind: replyParse, hidden: s == nil, name: p.Name, step: s})
	if p.Unnamed {
		t.unnamed = p
		return
	}
	t.sent[p.Name] = true
}

// name returns what a statement is called on the connection, after preparing
// it there if need be.
func (t *translation) name(p *prepared, callers string) string {
	if p == nil {
		return missingName(callers)
	}
	ready := t.sent[p.Name] || t.conn.Statements.Touch(p.Name)
	if p.Unnamed {
		ready = t.unnamed == p
	}
	if !ready {
		t.prepare(p, nil)
	}
	return string(p.Name)
}
