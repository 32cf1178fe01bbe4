package workload

import (
	"context"
	"fmt"
	"net/url"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/history"
)

const (
	usualDeadline = 2 * time.Second
	closeTime     = 100 * time.Millisecond
	codeNotRun    = "57P03"
	notRun        = "not run:"
)

// hints are what a request tells the entry beside its statement.
type hints struct {
	request string
	class   string
	maxAge  time.Duration
}

// answer is what came of a request.
type answer struct {
	outcome history.Outcome
	value   string
	replica bool
}

// comment writes the hints as a leading comment.
func (c *caller) comment(h hints) string {
	if c.run.options.Mode == SessionConnection && h.maxAge == 0 {
		return ""
	}
	var pairs []string
	add := func(key, value string) {
		if value != "" {
			pairs = append(pairs, key+"="+value)
		}
	}
	if c.run.options.Mode != SessionConnection {
		add("session", c.session)
		if c.run.options.Mode == SessionToken {
			add("token", c.token)
		}
		add("request", h.request)
	}
	if h.maxAge > 0 {
		add("max-age", h.maxAge.String())
	}
	add("class", h.class)
	deadline := c.run.options.Deadline
	if deadline == 0 {
		deadline = usualDeadline
	}
	add("deadline", deadline.String())
	return "/* kingcupknot: " + strings.Join(pairs, ", ") + " */ "
}

// conn returns a connection to the present entry.
func (c *caller) conn(ctx context.Context) (*pgx.Conn, error) {
	if p := c.conns[c.entry]; p != nil && !p.IsClosed() {
		return p, nil
	}
	o := c.run.options
	u := url.URL{Scheme: "postgres", Host: c.entry, Path: "/" + c.service, RawQuery: "sslmode=disable"}
	u.User = url.UserPassword(o.User, o.Password)
	p, err := pgx.Connect(ctx, u.String())
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.conns[c.entry] = p
	return p, nil
}

func (c *caller) drop(entry string) {
	p := c.conns[entry]
	delete(c.conns, entry)
	if p == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTime)
	defer cancel()
	_ = p.Close(ctx)
}

// mode draws the protocol. Hints change from request to request, so a cache of
// statements would only grow; without them pgx's own default is used.
func (c *caller) mode() pgx.QueryExecMode {
	switch {
	case c.random.IntN(2) == 0:
		return pgx.QueryExecModeSimpleProtocol
	case c.run.options.Mode == SessionConnection:
		return pgx.QueryExecModeCacheStatement
	}
	return pgx.QueryExecModeExec
}

// ask sends one statement.
func (c *caller) ask(ctx context.Context, h hints, text string, args ...any) answer {
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	p, err := c.conn(ctx)
	if err != nil {
		return answer{outcome: history.OutcomeRefused}
	}
	all := append([]any{c.mode()}, args...)
	rows, err := p.Query(ctx, c.comment(h)+text, all...)
	var a answer
	if err == nil {
		for rows.Next() {
			a.value = string(rows.RawValues()[0])
		}
		rows.Close()
		err = rows.Err()
	}
	a.outcome = c.judge(err)
	c.learn(p, &a)
	return a
}

// learn takes the token and who answered from the connection.
func (c *caller) learn(p *pgx.Conn, a *answer) {
	if a.outcome == history.OutcomeAcknowledged {
		a.replica = p.PgConn().ParameterStatus("kingcupknot.served") == "replica"
	}
	if t := p.PgConn().ParameterStatus("kingcupknot.token"); t != "" {
		c.token = t
	}
}

// judge says what an error tells of the request. A connection that is in an
// unknown state is dropped.
func (c *caller) judge(err error) history.Outcome {
	if err == nil {
		return history.OutcomeAcknowledged
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		c.drop(c.entry)
		if pgconn.SafeToRetry(err) {
			return history.OutcomeRefused
		}
		return history.OutcomeUnknown
	}
	if e.Severity == "FATAL" {
		c.drop(c.entry)
	}
	switch {
	case e.Code == codeNotRun && strings.HasPrefix(e.Message, notRun):
		if e.Hint != "" {
			c.run.hinted.Add(1)
		}
		return history.OutcomeRefused
	case strings.HasPrefix(e.Code, "08"), strings.HasPrefix(e.Code, "57P"):
		return history.OutcomeUnknown
	}
	return history.OutcomeFailed
}

// transfer moves one from an account to the other.
func (c *caller) transfer(ctx context.Context) answer {
	ctx, cancel := context.WithTimeout(ctx, requestTime)
	defer cancel()
	p, err := c.conn(ctx)
	if err != nil {
		return answer{outcome: history.OutcomeRefused}
	}
	from, to := c.row("from", c.number), c.row("to", c.number)
	for _, text := range []string{
		c.comment(hints{class: "booking"}) + "BEGIN",
		fmt.Sprintf("UPDATE account SET value = value - 1 WHERE key = '%s'", from),
		fmt.Sprintf("UPDATE account SET value = value + 1 WHERE key = '%s'", to),
	} {
		if _, err := p.Exec(ctx, text, pgx.QueryExecModeSimpleProtocol); err != nil {
			// Nothing was committed; the entry rolls back when it closes.
			failed := c.judge(err) == history.OutcomeFailed
			c.drop(c.entry)
			if failed {
				return answer{outcome: history.OutcomeFailed}
			}
			return answer{outcome: history.OutcomeRefused}
		}
	}
	tag, err := p.Exec(ctx, "COMMIT", pgx.QueryExecModeSimpleProtocol)
	a := answer{outcome: c.judge(err)}
	if err == nil && tag.String() != "COMMIT" {
		a.outcome = history.OutcomeFailed
	}
	if a.outcome != history.OutcomeAcknowledged {
		c.drop(c.entry)
	}
	c.learn(p, &a)
	return a
}
