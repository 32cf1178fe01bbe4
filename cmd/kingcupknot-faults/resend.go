package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
)

const (
	resendCallers = 12
	// maxResends is the highest number of resends of an increment whose outcome
	// is unknown.
	maxResends     = 20
	resendInterval = 50 * time.Millisecond
	resendTimeout  = 3 * time.Second
	settleTimeout  = 30 * time.Second
	// An error with codeNotRun and a message that starts with notRunPrefix
	// guarantees that the statement was not executed.
	codeNotRun   = "57P03"
	notRunPrefix = "not run:"
)

// resender increments one counter row. It sends each increment, under a new
// request id, through two entries concurrently and resends it until the outcome
// is known, at most maxResends times. An increment has no unique key, so the
// database does not reject a second execution, and the row's value shows it.
type resender struct {
	entries []string
	service string
	row     string
	random  *rand.Rand
	// confirmed counts the increments that were executed, unknown those that
	// may have been executed, and sent all increments.
	confirmed, unknown, sent int64
}

// runResend runs resenders concurrently for a duration and checks their
// counters. Its arguments are the duration, a seed, a service and the entries.
func runResend(args []string) error {
	duration, err := time.ParseDuration(args[0])
	if err != nil {
		return errors.Trace(err)
	}
	seed, err := strconv.ParseUint(args[1], 10, 64)
	if err != nil {
		return errors.Trace(err)
	}
	runErrors := make([]error, resendCallers)
	all := make([]*resender, resendCallers)
	var workers sync.WaitGroup
	for i := range all {
		r := &resender{
			entries: args[3:], service: args[2], random: rand.New(rand.NewPCG(seed, uint64(i))),
			row: fmt.Sprintf("resend-%d-%x-%d", seed, time.Now().UnixNano(), i),
		}
		all[i] = r
		workers.Go(func() { runErrors[i] = r.run(time.Now().Add(duration)) })
	}
	workers.Wait()
	var confirmed, unknown, sent int64
	for _, r := range all {
		confirmed, unknown, sent = confirmed+r.confirmed, unknown+r.unknown, sent+r.sent
	}
	fmt.Printf("operations=%d acknowledged=%d unknown=%d\n", sent, confirmed, unknown)
	for _, err := range runErrors {
		if err != nil {
			return err
		}
	}
	return nil
}

// run increments the counter until a point in time, then reads it back and
// checks it.
func (r *resender) run(end time.Time) error {
	insert := "INSERT INTO counter (key, value) VALUES ('" + r.row + "', '0') ON CONFLICT (key) DO NOTHING"
	if _, err := r.retryUntilDone(insert); err != nil {
		return errors.Annotate(err, "set up a counter")
	}
	for time.Now().Before(end) {
		r.increment()
	}
	// The session id makes the read return all writes of the session.
	text, err := r.retryUntilDone("/* kingcupknot: session=" + r.row + " */ SELECT value FROM counter WHERE key = '" + r.row + "'")
	if err != nil {
		return errors.Annotate(err, "read back a counter")
	}
	n, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return errors.Trace(err)
	}
	return r.checkCount(n)
}

// checkCount returns a violation unless n, the value of the row, includes each
// confirmed increment once and each unknown one at most once.
func (r *resender) checkCount(n int64) error {
	if n < r.confirmed || n > r.confirmed+r.unknown {
		return violationf("%s is %d after %d increments that ran and %d that may have", r.row, n, r.confirmed, r.unknown)
	}
	return nil
}

// retryUntilDone runs an idempotent statement until it succeeds, for at most
// settleTimeout.
func (r *resender) retryUntilDone(text string) (string, error) {
	var err error
	for end := time.Now().Add(settleTimeout); time.Now().Before(end); time.Sleep(resendInterval) {
		var value string
		if value, err = r.execute(r.randomEntry(), text); err == nil {
			return value, nil
		}
	}
	return "", err
}

// increment sends one increment under one request id through two entries
// concurrently, then resends it while its outcome is unknown, at most
// maxResends times.
func (r *resender) increment() {
	r.sent++
	text := fmt.Sprintf("/* kingcupknot: session=%s, request=%s-%d, deadline=2s */ UPDATE "+
		"counter SET value = value + 1 WHERE key = '%s'", r.row, r.row, r.sent, r.row)
	first, second := r.randomEntry(), r.randomEntry()
	var firstErr, secondErr error
	var both sync.WaitGroup
	both.Go(func() { _, firstErr = r.execute(first, text) })
	both.Go(func() { _, secondErr = r.execute(second, text) })
	both.Wait()
	hasRun, mayHaveRun := firstErr == nil || secondErr == nil, !isNotRun(firstErr) || !isNotRun(secondErr)
	for try := 0; !hasRun && mayHaveRun && try < maxResends; try++ {
		time.Sleep(resendInterval)
		_, err := r.execute(r.randomEntry(), text)
		hasRun = err == nil
	}
	switch {
	case hasRun:
		r.confirmed++
	case mayHaveRun:
		r.unknown++
	}
}

func (r *resender) randomEntry() string {
	return r.entries[r.random.IntN(len(r.entries))]
}

// execute runs one statement on a new connection and returns the first value of
// the result, or an empty string if there is none.
func (r *resender) execute(entry, text string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), resendTimeout)
	defer cancel()
	c, err := pgx.Connect(ctx, "postgres://caller@"+entry+"/"+r.service+"?sslmode=disable")
	if err != nil {
		return "", errNotSent
	}
	defer func() { _ = c.Close(ctx) }()
	results, err := c.PgConn().Exec(ctx, text).ReadAll()
	if err != nil {
		return "", errors.Trace(err)
	}
	if len(results) > 0 && len(results[0].Rows) > 0 {
		return string(results[0].Rows[0][0]), nil
	}
	return "", nil
}

// errNotSent means that the connection failed, so the statement was not sent.
var errNotSent = errors.New("no connection")

// isNotRun reports whether an error guarantees that the statement was not
// executed.
func isNotRun(err error) bool {
	var e *pgconn.PgError
	if errors.As(err, &e) {
		return e.Code == codeNotRun && strings.HasPrefix(e.Message, notRunPrefix)
	}
	return errors.Is(err, errNotSent)
}
