// Package statement classifies the text of SQL statements: what they need of an
// upstream, which of them the entry answers itself, and which it refuses. Most
// refused statements depend on the state of one connection, and callers share
// connections.
package statement

import "github.com/kingcupknot/kingcupknot/node"

// Action is how the entry handles a statement.
type Action uint8

const (
	// ActionForward sends the statement to an upstream.
	ActionForward Action = iota
	// ActionSet sets or resets a setting of the caller's session.
	ActionSet
	// ActionShow returns the value of a setting of kingcupknot.
	ActionShow
	// ActionDropPrepared drops the caller's prepared statements. It is also
	// the action of UNLISTEN *, for which there is nothing to drop.
	ActionDropPrepared
	// ActionEndTransaction ends a transaction.
	ActionEndTransaction
	// ActionRefuse answers with an error.
	ActionRefuse
)

// Statement is the classification of one statement.
type Statement struct {
	Action Action
	// Kind is what the statement needs of an upstream.
	Kind node.RequestKind
	// Name and Value are those of the setting, for ActionSet and ActionShow.
	// ActionSet without a name resets all settings.
	Name  string
	Value string
	// CommandTag is the command tag that the entry answers with if it answers
	// the statement itself.
	CommandTag string
	// RefusalText tells the caller why the statement is refused and what to do
	// instead, for ActionRefuse.
	RefusalText string
	// MayCommit is set if the statement may commit an open transaction.
	MayCommit bool
	// ReadOnly is set for BEGIN with READ ONLY.
	ReadOnly bool
	// CopyIn is set for COPY FROM STDIN, which reads data from the caller.
	CopyIn bool
}

// Batch is the classification of statements that run together.
type Batch struct {
	Statements []Statement
}

// Parse splits a text into statements and classifies each. It skips empty
// statements.
func Parse(text string) Batch {
	var b Batch
	for _, tokens := range splitStatements(text) {
		b.Statements = append(b.Statements, classify(tokens))
	}
	return b
}

// Append adds the statements of another batch after those of b.
func (b *Batch) Append(other Batch) {
	b.Statements = append(b.Statements, other.Statements...)
}

// Kind returns what the batch needs of an upstream if it starts outside a
// transaction: the highest need of its statements, or KindBegin or KindBeginRead
// if the batch leaves a transaction open.
func (b Batch) Kind() node.RequestKind {
	kind := node.KindRead
	isOpen, openKind := false, node.KindBegin
	for _, s := range b.Statements {
		switch {
		case s.Kind == node.KindBegin || s.Kind == node.KindBeginRead:
			isOpen, openKind = true, s.Kind
		case s.Action == ActionEndTransaction:
			isOpen = false
			kind = max(kind, node.KindWrite)
		default:
			kind = max(kind, s.Kind)
		}
	}
	if !isOpen {
		return kind
	}
	if kind == node.KindRead {
		return openKind
	}
	return node.KindBegin
}

// FirstRefused returns the first statement that the entry refuses, and whether
// there is one. It also refuses a BEGIN after a commit in the same batch.
// The flag inTransaction says whether a transaction is open before the batch.
func (b Batch) FirstRefused(inTransaction bool) (Statement, bool) {
	committed := false
	for _, s := range b.Statements {
		switch {
		case s.Action == ActionRefuse:
			return s, true
		case s.Kind == node.KindBegin || s.Kind == node.KindBeginRead:
			if committed {
				return refusedStatement("a commit and the next BEGIN can't be sent together; wait for the answer to the commit"), true
			}
			inTransaction = true
		case s.MayCommit && inTransaction:
			committed, inTransaction = true, false
		}
	}
	return Statement{}, false
}

// IsLocal reports whether the entry answers the whole batch itself, and as mixed
// whether it would answer only a part of the batch.
func (b Batch) IsLocal() (local, mixed bool) {
	hasLocal, hasRemote := false, false
	for _, s := range b.Statements {
		switch s.Action {
		case ActionSet, ActionShow, ActionDropPrepared:
			hasLocal = true
		default:
			hasRemote = true
		}
	}
	return hasLocal && !hasRemote, hasLocal && hasRemote
}

// OnlyEndsTransaction reports whether the batch has statements and all of them
// end a transaction.
func (b Batch) OnlyEndsTransaction() bool {
	for _, s := range b.Statements {
		if s.Action != ActionEndTransaction {
			return false
		}
	}
	return len(b.Statements) > 0
}

// MayCommit reports whether a statement of the batch may commit an open
// transaction.
func (b Batch) MayCommit() bool {
	for _, s := range b.Statements {
		if s.MayCommit {
			return true
		}
	}
	return false
}

// IsReadOnly reports whether the caller asked for a read-only transaction.
func (b Batch) IsReadOnly() bool {
	for _, s := range b.Statements {
		if s.ReadOnly {
			return true
		}
	}
	return false
}

// HasCopyIn reports whether a statement of the batch is a COPY FROM STDIN, which
// reads data from the caller.
func (b Batch) HasCopyIn() bool {
	for _, s := range b.Statements {
		if s.CopyIn {
			return true
		}
	}
	return false
}
