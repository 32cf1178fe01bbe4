package listener

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/statement"
	"github.com/kingcupknot/kingcupknot/upstream"
)

// namePrefix begins the names of statements at upstreams.
const namePrefix = "kingcupknot_"

// prepared is one prepared statement of a caller.
type prepared struct {
	// Name is its name at upstreams, the same for equal statements.
	Name upstream.StatementName
	// Unnamed is set for a caller's unnamed statement, which is parsed anew
	// in each batch.
	Unnamed bool
	Parse   pgproto3.Parse
	SQL     statement.Batch
}

func newStatement(m *pgproto3.Parse) *prepared {
	h := sha256.New()
	var word [4]byte
	for _, oid := range m.ParameterOIDs {
		binary.BigEndian.PutUint32(word[:], oid)
		h.Write(word[:])
	}
	h.Write([]byte{0})
	h.Write([]byte(m.Query))
	const nameSize = 16
	name := namePrefix + hex.EncodeToString(h.Sum(nil)[:nameSize])
	p := &prepared{Name: upstream.StatementName(name), Unnamed: m.Name == "", SQL: statement.Parse(m.Query)}
	p.Parse = pgproto3.Parse{Name: name, Query: m.Query, ParameterOIDs: m.ParameterOIDs}
	if p.Unnamed {
		p.Name, p.Parse.Name = "", ""
	}
	return p
}

// step is one message of a batch in the extended protocol.
type step struct {
	message pgproto3.FrontendMessage
	// statement is what the message names, nil if there is none such.
	statement *prepared
	// parsed is set once the upstream accepted a Parse.
	parsed bool
}

// extended makes a batch of the messages before a Sync.
func (c *caller) extended(messages []pgproto3.FrontendMessage) *batch {
	b := &batch{arrived: c.server.options.Now()}
	for _, m := range messages {
		s := &step{message: m}
		switch m := m.(type) {
		case *pgproto3.Parse:
			s.statement = newStatement(m)
			c.remember(m.Name, s.statement, b)
		case *pgproto3.Bind:
			s.statement = c.statements[m.PreparedStatement]
			b.execute(s.statement, m)
		case *pgproto3.Describe:
			if m.ObjectType == 'S' {
				s.statement = c.statements[m.Name]
			}
		case *pgproto3.Close:
			if m.ObjectType == 'S' {
				delete(c.statements, m.Name)
			}
		}
		b.steps = append(b.steps, s)
	}
	return b
}

// remember keeps a statement under the caller's name for it. A name in use
// stands for the new statement only if it is the unnamed one.
func (c *caller) remember(name string, p *prepared, b *batch) {
	if _, used := c.statements[name]; used && name != "" {
		b.duplicate = name
		return
	}
	c.statements[name] = p
	if b.text == "" {
		b.text = p.Parse.Query
	}
}

// execute notes that the batch runs a statement.
func (b *batch) execute(p *prepared, m *pgproto3.Bind) {
	if p == nil {
		return
	}
	if len(b.digest) == 0 {
		b.text = p.Parse.Query
	}
	b.digest = append(b.digest, []byte(statement.Bare(p.Parse.Query)))
	b.digest = append(b.digest, m.Parameters...)
	b.sql.Append(p.SQL)
}

// parsed returns the statements that the batch prepares.
func (b *batch) parsed() []*prepared {
	var out []*prepared
	for _, s := range b.steps {
		if _, ok := s.message.(*pgproto3.Parse); ok {
			out = append(out, s.statement)
		}
	}
	return out
}

// all reports whether the batch prepares or executes something, and whether
// that holds for all of it.
func (b *batch) all(holds func(statement.Batch) bool) bool {
	parsed := b.parsed()
	for _, p := range parsed {
		if !holds(p.SQL) {
			return false
		}
	}
	if len(b.sql.Statements) == 0 {
		return len(parsed) > 0
	}
	return holds(b.sql)
}

// forgetUnparsed drops the statements that no upstream accepted.
func (c *caller) forgetUnparsed(b *batch) {
	for _, s := range b.steps {
		m, ok := s.message.(*pgproto3.Parse)
		if ok && !s.parsed && c.statements[m.Name] == s.statement {
			delete(c.statements, m.Name)
		}
	}
}

// missingName is the name sent for a statement that the caller doesn't have,
// so that the upstream answers as it would to the caller.
func missingName(name string) string {
	if strings.HasPrefix(name, namePrefix) || name == "" {
		return "missing"
	}
	return name
}
