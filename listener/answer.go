package listener

import (
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/statement"
	"github.com/kingcupknot/kingcupknot/token"
)

// answer tells the caller how its request ended.
func (c *caller) answer(r *request, a node.AnswerRequest) {
	if a.Verdict == node.VerdictDone && !r.answered {
		a.Verdict, a.Reason = node.VerdictUnknown, "the answer was not read to its end"
	}
	if !r.recorded {
		c.forgetUnparsed(r.batch)
	}
	if a.Verdict != node.VerdictDone {
		c.refuse(r, a)
		c.ready()
		return
	}
	c.status = r.status
	c.faulted = c.faulted || r.failed
	if r.recorded {
		c.advance(r, a)
		c.replay(r)
		return
	}
	c.out.pending = append(c.out.pending, r.held...)
	c.advance(r, a)
	c.ready()
}

// replay answers a request by what was recorded under its id. Rows that it
// returned then are not known any more.
func (c *caller) replay(r *request) {
	c.play(r.batch, func(statement.Statement) (string, *fault) {
		if len(r.tags) == 0 {
			return "", nil
		}
		tag := r.tags[0]
		r.tags = r.tags[1:]
		return tag, nil
	})
}

// advance moves the session's floor on and reports what changed.
func (c *caller) advance(r *request, a node.AnswerRequest) {
	if c.floor.Less(a.Floor) {
		c.floor = a.Floor
		c.reportToken(r)
	}
	served := "primary"
	if a.FromReplica {
		served = "replica"
	}
	if served != c.served {
		c.served = served
		c.out.add(&pgproto3.ParameterStatus{Name: statement.SettingPrefix + "served", Value: served})
	}
}

// reportToken gives the caller a token with the session's floor.
func (c *caller) reportToken(r *request) {
	floor := c.floor
	if floor.Less(r.settings.Floor) {
		floor = r.settings.Floor
	}
	text, err := token.Sign(c.server.options.TokenKey, token.Token{
		Session: r.settings.Session, Service: c.service, Position: floor,
	})
	if err != nil {
		c.server.options.Log.Error(err, "listener: token not signed")
		return
	}
	c.out.add(&pgproto3.ParameterStatus{Name: statement.SettingPrefix + "token", Value: text})
}

// refuse tells the caller that its request did not run, or may have.
func (c *caller) refuse(r *request, a node.AnswerRequest) {
	if !r.saw {
		c.out.drop()
	}
	c.faulted = true
	inside := r.kind == node.KindInTransaction
	if c.held != nil {
		c.dropTransaction()
	}
	c.status = statusIdle
	switch {
	case inside && (a.Verdict == node.VerdictNotRun || !r.batch.sql.MayCommit()):
		c.status = statusFailed
		c.out.add(rolledBack().message())
	case a.Verdict == node.VerdictNotRun:
		c.out.add((&fault{Code: codeNotRun, Text: "not run: " + a.Reason, Hint: retryHint(a.RetryAfter)}).message())
	default:
		c.out.add((&fault{Code: codeOutcomeUnknown, Text: "outcome unknown: " + a.Reason}).message())
	}
	if inside && r.batch.sql.OnlyEndsTransaction() {
		c.status = statusIdle
	}
}

func rolledBack() *fault {
	return &fault{
		Code: codeSerialization,
		Text: "transaction rolled back: the upstream was lost",
		Hint: "run the transaction again from its beginning",
	}
}
