// Package statement tells from the text of SQL what it needs of an upstream,
// what the entry answers itself and what can't be carried.
package statement

import "github.com/kingcupknot/kingcupknot/node"

// Action says what becomes of a statement.
type Action uint8

// Actions.
const (
	// ActionForward sends the statement to an upstream.
	ActionForward Action = iota
	// ActionSet gives a setting of the caller's session a value.
	ActionSet
	// ActionShow answers with the value of a setting of kingcupknot.
	ActionShow
	// ActionDropPrepared drops the caller's prepared statements.
	ActionDropPrepared
	// ActionEndTransaction ends a transaction.
	ActionEndTransaction
	// ActionRefuse answers with an error.
	ActionRefuse
)

// Statement is what is known of one statement.
type Statement struct {
	Action Action
	// Kind is what the statement needs of an upstream.
	Kind node.RequestKind
	// Name and Value belong to ActionSet and ActionShow.
	Name  string
	Value string
	// CommandTag is the command tag of an answer by the entry.
	CommandTag string
	// RefusalText says what to do in place of the refused statement.
	RefusalText string
	// MayCommit is set if the statement may commit an open transaction.
	MayCommit bool
	// ReadOnly is set for BEGIN with READ ONLY.
	ReadOnly bool
	// CopyIn is set if the statement reads data from the caller.
	CopyIn bool
}

// Batch is what is known of statements that run together.
type Batch struct {
	Statements []Statement
}

// Parse reads the statements of a text.
func Parse(text string) Batch {
	var b Batch
	for _, tokens := range splitStatements(text) {
		b.Statements = append(b.Statements, classify(tokens))
	}
	return b
}

// Append adds the statements of another batch behind those of b.
func (b *Batch) Append(other Batch) {
	b.Statements = append(b.Statements, other.Statements...)
}

// Kind is what the batch needs outside a transaction: the most of what its
// statements need.
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

// FirstRefused returns the first statement that can't be carried.
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

// IsLocal reports whether the entry answers the whole batch itself, and mixed
// whether it would have to answer a part of it.
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

// OnlyEndsTransaction reports whether all statements end a transaction.
func (b Batch) OnlyEndsTransaction() bool {
	for _, s := range b.Statements {
		if s.Action != ActionEndTransaction {
			return false
		}
	}
	return len(b.Statements) > 0
}

// MayCommit reports whether a statement may commit an open transaction.
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

// HasCopyIn reports whether a statement reads data from the caller.
func (b Batch) HasCopyIn() bool {
	for _, s := range b.Statements {
		if s.CopyIn {
			return true
		}
	}
	return false
}
