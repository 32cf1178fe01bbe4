package listener

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/statement"
	"github.com/kingcupknot/kingcupknot/token"
)

// answer answers the caller by the reducer's verdict on the request.
func (c *caller) answer(r *request, a node.AnswerRequest) {
	if a.Verdict == node.VerdictDone && !r.isAnswerComplete {
		a.Verdict, a.Reason = node.VerdictUnknown, "the answer was not read to its end"
	}
	if !r.isReplay {
		c.dropUnparsed(r.batch)
	}
	if a.Verdict != node.VerdictDone {
		c.answerNotDone(r, a)
		c.endAnswer()
		return
	}
	c.status = r.status
	c.hasFailed = c.hasFailed || r.failed
	if r.isReplay {
		c.advanceFloor(r, a)
		c.replay(r)
		return
	}
	c.out.pending = append(c.out.pending, r.buffered...)
	c.advanceFloor(r, a)
	c.endAnswer()
}

// replay answers a request with the command tags recorded under its request id.
// Rows that the first run returned are not recorded and not returned again.
func (c *caller) replay(r *request) {
	c.answerLocalBatch(r.batch, func(statement.Statement) (string, *fault) {
		if len(r.tags) == 0 {
			return "", nil
		}
		tag := r.tags[0]
		r.tags = r.tags[1:]
		return tag, nil
	})
}

// advanceFloor raises the session's floor to that of the answer. It reports a new
// token to the caller if the floor rose, and the role of the upstream if that is
// not the role reported last.
func (c *caller) advanceFloor(r *request, a node.AnswerRequest) {
	if c.floor.Less(a.Floor) {
		c.floor = a.Floor
		c.reportToken(r)
	}
	served := "primary"
	if a.FromReplica {
		served = "replica"
	}
	if served != c.reportedRole {
		c.reportedRole = served
		c.out.add(&pgproto3.ParameterStatus{Name: statement.SettingPrefix + "served", Value: served})
	}
}

// reportToken reports a token with the session's floor to the caller.
func (c *caller) reportToken(r *request) {
	floor := c.floor
	if floor.Less(r.settings.Floor) {
		floor = r.settings.Floor
	}
	text, err := token.Sign(c.server.options.TokenKey, token.Token{
		Session: r.settings.Session, Service: c.service, Position: floor,
	})
	if err != nil {
		c.server.options.Log.Error(err, "A session token could not be signed.")
		return
	}
	c.out.add(&pgproto3.ParameterStatus{Name: statement.SettingPrefix + "token", Value: text})
}

// answerNotDone reports to the caller that its request was not run or that its
// outcome is unknown. An open transaction is rolled back.
func (c *caller) answerNotDone(r *request, a node.AnswerRequest) {
	if !r.callerSawAnswer {
		c.out.discard()
	}
	c.hasFailed = true
	inTransaction := r.kind == node.KindInTransaction
	if c.transactionConn != nil {
		c.dropTransaction()
	}
	c.status = statusIdle
	switch {
	case inTransaction && (a.Verdict == node.VerdictNotRun || !r.batch.sql.MayCommit()):
		c.status = statusFailed
		c.out.add(rolledBackFault().message())
	case a.Verdict == node.VerdictNotRun:
		c.out.add((&fault{Code: codeNotRun, Text: "not run: " + a.Reason, Hint: retryHint(a.RetryAfter)}).message())
	default:
		c.out.add((&fault{Code: codeOutcomeUnknown, Text: "outcome unknown: " + a.Reason}).message())
	}
	if inTransaction && r.batch.sql.OnlyEndsTransaction() {
		c.status = statusIdle
	}
}

// rolledBackFault returns the fault for a transaction whose upstream was lost.
func rolledBackFault() *fault {
	return &fault{
		Code: codeSerializationFailure,
		Text: "transaction rolled back: the upstream was lost",
		Hint: "run the transaction again from its beginning",
	}
}
