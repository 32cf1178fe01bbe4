package statement

import (
	"strings"

	"github.com/kingcupknot/kingcupknot/node"
)

// writingFunctions are functions that change something when a SELECT calls them,
// so the SELECT counts as a write. A name that ends in an underscore is a prefix.
var writingFunctions = []string{
	"NEXTVAL", "SETVAL", "LO_", "PG_NOTIFY", "PG_TRY_ADVISORY_", "PG_ADVISORY_", "TXID_CURRENT",
	"PG_CURRENT_XACT_ID", "PG_CREATE_", "PG_DROP_", "PG_LOGICAL_", "PG_REPLICATION_", "PG_SWITCH_WAL",
	"PG_TERMINATE_BACKEND", "PG_CANCEL_BACKEND", "PG_PROMOTE", "SET_CONFIG", "DBLINK", "DBLINK_",
}

const temporaryTableAdvice = "temporary tables belong to one connection; use WITH in the query, or an ordinary table"

// classify classifies one statement. A statement that it doesn't know counts as
// a write.
func classify(t []token) Statement {
	for len(t) > 0 && t[0].Text == "(" {
		t = t[1:]
	}
	if len(t) == 0 {
		return Statement{Kind: node.KindWrite}
	}
	switch t[0].Text {
	case "SELECT", "VALUES", "TABLE", "WITH":
		return classifyQuery(t)
	case "SHOW":
		return classifyShow(t)
	case "EXPLAIN":
		return classifyExplain(t)
	case "COPY":
		return classifyCopy(t)
	case "SET":
		return classifySet(t)
	case "RESET", "DISCARD", "DEALLOCATE":
		return classifyReset(t)
	}
	if s, ok := classifyTransaction(t); ok {
		return s
	}
	return classifyOther(t)
}

func classifyQuery(t []token) Statement {
	s := Statement{Kind: node.KindRead}
	for i, k := range t {
		if k.Kind != tokenWord && k.Kind != tokenQuotedName {
			continue
		}
		if isSessionAdvisoryLock(k, t[i+1:]) {
			return refusedStatement("advisory locks belong to one connection, which callers share; lock a row with SELECT ... FOR UPDATE")
		}
		if k.Text == "INTO" && strings.HasPrefix(wordAt(t, i+1), "TEMP") {
			return refusedStatement(temporaryTableAdvice)
		}
		if k.Kind == tokenWord && isWriteKeyword(k.Text) || callsWritingFunction(k, t[i+1:]) {
			s.Kind = node.KindWrite
		}
	}
	return s
}

// isWriteKeyword reports whether the keyword makes a query change or lock data.
func isWriteKeyword(word string) bool {
	switch word {
	case "INSERT", "UPDATE", "DELETE", "MERGE", "INTO", "SHARE":
		return true
	}
	return false
}

// callsWritingFunction reports whether the name, followed by the tokens rest,
// calls one of writingFunctions.
func callsWritingFunction(k token, rest []token) bool {
	if len(rest) == 0 || rest[0].Text != "(" {
		return false
	}
	name := strings.ToUpper(k.Text)
	for _, f := range writingFunctions {
		if name == f || strings.HasSuffix(f, "_") && strings.HasPrefix(name, f) {
			return true
		}
	}
	return false
}

// isSessionAdvisoryLock reports whether the name, followed by the tokens rest,
// calls an advisory lock function that isn't bound to a transaction.
func isSessionAdvisoryLock(k token, rest []token) bool {
	name := strings.ToUpper(k.Text)
	if len(rest) == 0 || rest[0].Text != "(" || strings.Contains(name, "_XACT_") {
		return false
	}
	return strings.HasPrefix(name, "PG_ADVISORY_") || strings.HasPrefix(name, "PG_TRY_ADVISORY_")
}

func classifyExplain(t []token) Statement {
	analyze := false
	for i := 1; i < len(t); i++ {
		switch t[i].Text {
		case "ANALYZE", "ANALYSE":
			analyze = true
		case "SELECT", "WITH", "VALUES", "TABLE", "INSERT", "UPDATE", "DELETE", "MERGE", "EXECUTE", "CREATE":
			if analyze {
				return classify(t[i:])
			}
			return Statement{Kind: node.KindRead}
		}
	}
	return Statement{Kind: node.KindWrite}
}

func classifyCopy(t []token) Statement {
	for i, k := range t {
		if k.Depth > 0 || k.Kind != tokenWord {
			continue
		}
		switch k.Text {
		case "FROM":
			fromStdin := i+1 < len(t) && t[i+1].Text == "STDIN"
			return Statement{Kind: node.KindWrite, CopyIn: fromStdin}
		case "TO":
			if i+1 < len(t) && t[i+1].Text == "STDOUT" {
				return classifyCopySource(t[1:i])
			}
		}
	}
	return Statement{Kind: node.KindWrite}
}

// classifyCopySource classifies the source of COPY TO: a table or a query.
func classifyCopySource(t []token) Statement {
	if len(t) > 0 && t[0].Text == "(" {
		return classify(t)
	}
	return Statement{Kind: node.KindRead}
}

// classifyTransaction classifies a statement that begins or ends a transaction or
// rolls back to a savepoint. It reports false for other statements.
func classifyTransaction(t []token) (Statement, bool) {
	second := wordAt(t, 1)
	switch t[0].Text {
	case "BEGIN":
		return classifyBegin(t), true
	case "START":
		return classifyBegin(t), true
	case "COMMIT", "END":
		if second == "PREPARED" {
			return Statement{Kind: node.KindWrite}, true
		}
		return classifyTransactionEnd(t, "COMMIT"), true
	case "ROLLBACK", "ABORT":
		if second == "TO" || wordAt(t, 2) == "TO" {
			return Statement{Kind: node.KindWrite}, true
		}
		if second == "PREPARED" {
			return Statement{Kind: node.KindWrite}, true
		}
		return classifyTransactionEnd(t, "ROLLBACK"), true
	}
	return Statement{}, false
}

func classifyBegin(t []token) Statement {
	for i := range t {
		if wordAt(t, i) == "READ" && wordAt(t, i+1) == "ONLY" {
			return Statement{Kind: node.KindBeginRead, ReadOnly: true}
		}
	}
	return Statement{Kind: node.KindBegin}
}

// classifyTransactionEnd classifies COMMIT, ROLLBACK and their synonyms; tag is
// the command tag of the statement.
func classifyTransactionEnd(t []token, tag string) Statement {
	for i := range t {
		if wordAt(t, i) == "AND" && wordAt(t, i+1) == "CHAIN" {
			return refusedStatement("AND CHAIN is not carried; end the transaction, then send BEGIN")
		}
	}
	return Statement{Action: ActionEndTransaction, Kind: node.KindWrite, CommandTag: tag, MayCommit: tag == "COMMIT"}
}

func classifyOther(t []token) Statement {
	switch t[0].Text {
	case "LISTEN", "UNLISTEN":
		if wordAt(t, 0) == "UNLISTEN" && len(t) > 1 && t[1].Text == "*" {
			return Statement{Action: ActionDropPrepared, CommandTag: "UNLISTEN"}
		}
		return refusedStatement("LISTEN needs a connection of its own; connect to the upstream directly for notifications")
	case "PREPARE":
		if wordAt(t, 1) == "TRANSACTION" {
			return Statement{Kind: node.KindWrite, MayCommit: true}
		}
		return refusedStatement("PREPARE in SQL belongs to one connection; prepare through the protocol of your driver")
	case "EXECUTE":
		return refusedStatement("EXECUTE in SQL belongs to one connection; prepare through the protocol of your driver")
	case "LOAD":
		return refusedStatement("LOAD belongs to one connection; load the library in the upstream's settings")
	case "DECLARE":
		return classifyDeclare(t)
	case "CREATE":
		return classifyCreate(t)
	}
	return Statement{Kind: node.KindWrite}
}

func classifyDeclare(t []token) Statement {
	for i := range t {
		if wordAt(t, i) == "WITH" && wordAt(t, i+1) == "HOLD" {
			return refusedStatement("a cursor WITH HOLD outlives its transaction; read it to its end within the transaction")
		}
	}
	return Statement{Kind: node.KindWrite}
}

func classifyCreate(t []token) Statement {
	for i := 1; i < len(t) && i < 4; i++ {
		switch wordAt(t, i) {
		case "TEMP", "TEMPORARY":
			return refusedStatement(temporaryTableAdvice)
		case "TABLE", "VIEW", "SEQUENCE":
			return Statement{Kind: node.KindWrite}
		}
	}
	return Statement{Kind: node.KindWrite}
}

func refusedStatement(text string) Statement {
	return Statement{Action: ActionRefuse, Kind: node.KindWrite, RefusalText: text}
}

// wordAt returns the word at index i, or an empty string if there is no token or
// the token is no word.
func wordAt(t []token, i int) string {
	if i < 0 || i >= len(t) || t[i].Kind != tokenWord {
		return ""
	}
	return t[i].Text
}
