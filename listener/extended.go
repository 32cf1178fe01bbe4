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

// namePrefix is the prefix of statement names at upstreams.
const namePrefix = "kingcupknot_"

// prepared is a prepared statement of a caller.
type prepared struct {
	// Name is the statement's name at upstreams. Equal statements have equal
	// names.
	Name upstream.StatementName
	// Unnamed is set for a caller's unnamed statement, which is parsed again in
	// each batch.
	Unnamed bool
	Parse   pgproto3.Parse
	SQL     statement.Batch
}

// newPrepared returns the prepared statement for a Parse. The name of a named
// statement at upstreams is a hash of its query and parameter types.
func newPrepared(m *pgproto3.Parse) *prepared {
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
	// statement is the statement that the message refers to, nil if there is
	// none.
	statement *prepared
	// isParsed is set for a Parse that has succeeded.
	isParsed bool
}

// extendedBatch returns a batch of the messages before a Sync or Flush.
func (c *caller) extendedBatch(messages []pgproto3.FrontendMessage) *batch {
	b := &batch{arrivedAt: c.server.options.Now()}
	for _, m := range messages {
		s := &step{message: m}
		switch m := m.(type) {
		case *pgproto3.Parse:
			s.statement = newPrepared(m)
			c.storeStatement(m.Name, s.statement, b)
		case *pgproto3.Bind:
			s.statement = c.statements[m.PreparedStatement]
			b.addExecution(s.statement, m)
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

// storeStatement stores a statement under the caller's name for it. A name that
// is in use is reported as a duplicate, except for the unnamed statement, which
// is replaced.
func (c *caller) storeStatement(name string, p *prepared, b *batch) {
	if _, used := c.statements[name]; used && name != "" {
		b.duplicateName = name
		return
	}
	c.statements[name] = p
	if b.text == "" {
		b.text = p.Parse.Query
	}
}

// addExecution adds the execution of a statement to the batch.
func (b *batch) addExecution(p *prepared, m *pgproto3.Bind) {
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

// preparedStatements returns the statements that the batch prepares.
func (b *batch) preparedStatements() []*prepared {
	var out []*prepared
	for _, s := range b.steps {
		if _, ok := s.message.(*pgproto3.Parse); ok {
			out = append(out, s.statement)
		}
	}
	return out
}

// holdsForAll reports whether the batch prepares or executes at least one
// statement, and the condition holds for all of these.
func (b *batch) holdsForAll(condition func(statement.Batch) bool) bool {
	parsed := b.preparedStatements()
	for _, p := range parsed {
		if !condition(p.SQL) {
			return false
		}
	}
	if len(b.sql.Statements) == 0 {
		return len(parsed) > 0
	}
	return condition(b.sql)
}

// dropUnparsed removes the caller's statements whose Parse in the batch did not
// succeed.
func (c *caller) dropUnparsed(b *batch) {
	for _, s := range b.steps {
		m, ok := s.message.(*pgproto3.Parse)
		if ok && !s.isParsed && c.statements[m.Name] == s.statement {
			delete(c.statements, m.Name)
		}
	}
}

// missingName returns the name to send for a statement that the caller doesn't
// have, so that the upstream replies with its error for a missing statement. It
// never is the name of a statement of the entry.
func missingName(name string) string {
	if strings.HasPrefix(name, namePrefix) || name == "" {
		return "missing"
	}
	return name
}
