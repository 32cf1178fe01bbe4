// Package statement tells from the text of SQL what it needs of an upstream,
// what the entry answers itself and what can't be carried.
package statement

import "github.com/kingcupknot/kingcupknot/node"

// Action says what becomes of a statement.
type Action uint8

// Actions.
const (
	// ActionPass sends the statement to an upstream.
	ActionPass Action = iota
	// ActionSet gives a setting of the caller's session a value.
	ActionSet
	// ActionShow answers with the value of a setting of kingcupknot.
	ActionShow
	// ActionForget drops the caller's prepared statements.
	ActionForget
	// ActionEnd ends a transaction.
	ActionEnd
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
	// Tag is the command tag of an answer by the entry.
	Tag string
	// Refusal says what to do in place of the refused statement.
	Refusal string
	// Commit is set if the statement may commit an open transaction.
	Commit bool
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
	for _, tokens := range split(text) {
		b.Statements = append(b.Statements, classify(tokens))
	}
	return b
}

// Join adds the statements of another batch behind those of b.
func (b *Batch) Append(other Batch) {
	b.Statements = append(b.Statements, other.Statements...)
}

// Kind is what the batch needs outside a transaction: the most of what its
// statements need.
func (b Batch) Kind() node.RequestKind {
	kind := node.KindRead
	open, openKind := false, node.KindBegin
	for _, s := range b.Statements {
		switch {
		case s.Kind == node.KindBegin || s.Kind == node.KindBeginRead:
			open, openKind = true, s.Kind
		case s.Action == ActionEnd:
			open = false
			kind = max(kind, node.KindWrite)
		default:
			kind = max(kind, s.Kind)
		}
	}
	if !open {
		return kind
	}
	if kind == node.KindRead {
		return openKind
	}
	return node.KindBegin
}

// Refused returns the first statement that can't be carried.
func (b Batch) FirstRefused(inTransaction bool) (Statement, bool) {
	committed := false
	for _, s := range b.Statements {
		switch {
		case s.Action == ActionRefuse:
			return s, true
		case s.Kind == node.KindBegin || s.Kind == node.KindBeginRead:
			if committed {
				return refuse("a commit and the next BEGIN can't be sent together; wait for the answer to the commit"), true
			}
			inTransaction = true
		case s.Commit && inTransaction:
			committed, inTransaction = true, false
		}
	}
	return Statement{}, false
}

// Local reports whether the entry answers the whole batch itself, and mixed
// whether it would have to answer a part of it.
func (b Batch) Local() (local, mixed bool) {
	some, others := false, false
	for _, s := range b.Statements {
		switch s.Action {
		case ActionSet, ActionShow, ActionForget:
			some = true
		default:
			others = true
		}
	}
	return some && !others, some && others
}

// Ends reports whether all statements end a transaction.
func (b Batch) Ends() bool {
	for _, s := range b.Statements {
		if s.Action != ActionEnd {
			return false
		}
	}
	return len(b.Statements) > 0
}

// Commits reports whether a statement may commit an open transaction.
func (b Batch) Commits() bool {
	for _, s := range b.Statements {
		if s.Commit {
			return true
		}
	}
	return false
}

// ReadOnly reports whether the caller asked for a read-only transaction.
func (b Batch) ReadOnly() bool {
	for _, s := range b.Statements {
		if s.ReadOnly {
			return true
		}
	}
	return false
}

// CopyIn reports whether a statement reads data from the caller.
func (b Batch) CopyIn() bool {
	for _, s := range b.Statements {
		if s.CopyIn {
			return true
		}
	}
	return false
}
