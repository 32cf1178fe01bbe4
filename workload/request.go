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
	// defaultDeadline is the deadline in the hints if Options has none.
	defaultDeadline = 2 * time.Second
	// closeTimeout bounds the orderly close of a connection to an entry.
	closeTimeout = 100 * time.Millisecond
	// codeNotRun is the SQLSTATE of a request that the entry refused without
	// running it; the message then begins with notRunPrefix. The upstream's
	// own errors may have the same code.
	codeNotRun   = "57P03"
	notRunPrefix = "not run:"
)

// hints are the hints that a request gives the entry besides its statement.
type hints struct {
	request string
	class   string
	maxAge  time.Duration
}

// requestResult is the outcome of a request with its value, if any.
type requestResult struct {
	outcome history.Outcome
	value   string
	replica bool
}

// hintComment returns the hints, with the session's id and token, as a comment
// to put before a statement. In the mode SessionConnection it leaves out the
// session, the token and the request id, and returns an empty string if the hints
// set no maximum age.
func (c *caller) hintComment(h hints) string {
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
		deadline = defaultDeadline
	}
	add("deadline", deadline.String())
	return "/* kingcupknot: " + strings.Join(pairs, ", ") + " */ "
}

// entryConn returns an open connection to the current entry, and opens one if
// there is none.
func (c *caller) entryConn(ctx context.Context) (*pgx.Conn, error) {
	if conn := c.conns[c.entry]; conn != nil && !conn.IsClosed() {
		return conn, nil
	}
	o := c.run.options
	u := url.URL{Scheme: "postgres", Host: c.entry, Path: "/" + c.service, RawQuery: "sslmode=disable"}
	u.User = url.UserPassword(o.User, o.Password)
	conn, err := pgx.Connect(ctx, u.String())
	if err != nil {
		return nil, errors.Trace(err)
	}
	c.conns[c.entry] = conn
	return conn, nil
}

func (c *caller) dropConn(entry string) {
	conn := c.conns[entry]
	delete(c.conns, entry)
	if conn == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
	defer cancel()
	_ = conn.Close(ctx)
}

// queryMode picks the simple or the extended protocol at random. With hints,
// the text changes from request to request, and pgx's statement cache would
// only grow; without hints, pgx's default mode is used.
func (c *caller) queryMode() pgx.QueryExecMode {
	switch {
	case c.random.IntN(2) == 0:
		return pgx.QueryExecModeSimpleProtocol
	case c.run.options.Mode == SessionConnection:
		return pgx.QueryExecModeCacheStatement
	}
	return pgx.QueryExecModeExec
}

// send sends one statement and returns its result.
func (c *caller) send(ctx context.Context, h hints, text string, args ...any) requestResult {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := c.entryConn(ctx)
	if err != nil {
		return requestResult{outcome: history.OutcomeRefused}
	}
	queryArgs := append([]any{c.queryMode()}, args...)
	rows, err := conn.Query(ctx, c.hintComment(h)+text, queryArgs...)
	var a requestResult
	if err == nil {
		for rows.Next() {
			a.value = string(rows.RawValues()[0])
		}
		rows.Close()
		err = rows.Err()
	}
	a.outcome = c.classifyError(err)
	c.readParameters(conn, &a)
	return a
}

// readParameters reads from the connection's parameters whether a replica
// answered, and the new session token.
func (c *caller) readParameters(conn *pgx.Conn, a *requestResult) {
	if a.outcome == history.OutcomeAcknowledged {
		a.replica = conn.PgConn().ParameterStatus("kingcupknot.served") == "replica"
	}
	if t := conn.PgConn().ParameterStatus("kingcupknot.token"); t != "" {
		c.token = t
	}
}

// classifyError returns the outcome of a request that ended with the error. It
// closes the connection if its state is unknown.
func (c *caller) classifyError(err error) history.Outcome {
	if err == nil {
		return history.OutcomeAcknowledged
	}
	var e *pgconn.PgError
	if !errors.As(err, &e) {
		c.dropConn(c.entry)
		if pgconn.SafeToRetry(err) {
			return history.OutcomeRefused
		}
		return history.OutcomeUnknown
	}
	if e.Severity == "FATAL" {
		c.dropConn(c.entry)
	}
	switch {
	case e.Code == codeNotRun && strings.HasPrefix(e.Message, notRunPrefix):
		if e.Hint != "" {
			c.run.retryHints.Add(1)
		}
		return history.OutcomeRefused
	case strings.HasPrefix(e.Code, "08"), strings.HasPrefix(e.Code, "57P"):
		return history.OutcomeUnknown
	}
	return history.OutcomeFailed
}

// transfer moves the amount 1 from one account of the caller to the other.
func (c *caller) transfer(ctx context.Context) requestResult {
	ctx, cancel := context.WithTimeout(ctx, requestTimeout)
	defer cancel()
	conn, err := c.entryConn(ctx)
	if err != nil {
		return requestResult{outcome: history.OutcomeRefused}
	}
	from, to := c.rowKey("from", c.index), c.rowKey("to", c.index)
	for _, text := range []string{
		c.hintComment(hints{class: "booking"}) + "BEGIN",
		fmt.Sprintf("UPDATE account SET value = value - 1 WHERE key = '%s'", from),
		fmt.Sprintf("UPDATE account SET value = value + 1 WHERE key = '%s'", to),
	} {
		if _, err := conn.Exec(ctx, text, pgx.QueryExecModeSimpleProtocol); err != nil {
			// Nothing was committed: the entry rolls back the transaction
			// when the connection closes.
			failed := c.classifyError(err) == history.OutcomeFailed
			c.dropConn(c.entry)
			if failed {
				return requestResult{outcome: history.OutcomeFailed}
			}
			return requestResult{outcome: history.OutcomeRefused}
		}
	}
	tag, err := conn.Exec(ctx, "COMMIT", pgx.QueryExecModeSimpleProtocol)
	a := requestResult{outcome: c.classifyError(err)}
	if err == nil && tag.String() != "COMMIT" {
		a.outcome = history.OutcomeFailed
	}
	if a.outcome != history.OutcomeAcknowledged {
		c.dropConn(c.entry)
	}
	c.readParameters(conn, &a)
	return a
}
