package workload

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/history"
)

// retryDelay is the wait between two attempts to insert a row or read a table.
const retryDelay = 100 * time.Millisecond

// insertRows inserts the caller's rows. It retries until tableTimeout has passed.
func (c *caller) insertRows(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	start := strconv.Itoa(initialBalance)
	for _, row := range [][3]string{
		{"register", c.rowKey("register", c.index), "0"},
		{"counter", c.rowKey("counter", c.index), "0"},
		{"account", c.rowKey("from", c.index), start},
		{"account", c.rowKey("to", c.index), start},
	} {
		text := "INSERT INTO " + row[0] + " (key, value) VALUES ($1, $2) ON CONFLICT (key) DO NOTHING"
		for c.send(ctx, hints{}, text, row[1], row[2]).outcome != history.OutcomeAcknowledged {
			c.switchEntry()
			if err := waitBeforeRetry(ctx); err != nil {
				return errors.Annotatef(err, "insert a row into table %s", row[0])
			}
		}
	}
	return nil
}

func waitBeforeRetry(ctx context.Context) error {
	select {
	case <-time.After(retryDelay):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readFinalState reads all rows of the run, each service through an entry.
func (r *run) readFinalState(ctx context.Context, callers []*caller) (history.FinalState, error) {
	f := history.FinalState{
		Bookings: map[history.RowID]int{}, Counters: map[history.RowID]int64{},
		ExpectedSum: int64(len(callers)) * 2 * initialBalance,
	}
	ctx, cancel := context.WithTimeout(ctx, tableTimeout)
	defer cancel()
	for i, s := range r.options.Services {
		c := newCaller(r, i)
		c.session = "read-back-" + r.id
		for _, table := range []string{"booking", "counter", "account"} {
			rows, err := c.readTable(ctx, table)
			if err != nil {
				return f, errors.Annotatef(err, "read table %s of service %s", table, s)
			}
			r.addRows(&f, s, table, rows)
		}
		c.closeConns()
	}
	return f, nil
}

// addRows adds the rows of a table to the final state. It skips rows of other
// runs.
func (r *run) addRows(f *history.FinalState, service, table string, rows [][2]string) {
	for _, row := range rows {
		if !strings.Contains(row[0], "-"+r.id+"-") {
			continue
		}
		n, _ := strconv.ParseInt(row[1], 10, 64)
		id := history.RowID{Service: service, Key: row[0]}
		switch table {
		case "booking":
			f.Bookings[id]++
		case "counter":
			f.Counters[id] = n
		default:
			f.Sum += n
		}
	}
}

// readTable reads a whole table. After an error it tries again through a random
// entry until the context ends.
func (c *caller) readTable(ctx context.Context, table string) ([][2]string, error) {
	for {
		rows, err := c.readTableOnce(ctx, table)
		if err == nil {
			return rows, nil
		}
		c.dropConn(c.entry)
		c.switchEntry()
		if waitBeforeRetry(ctx) != nil {
			return nil, err
		}
	}
}

func (c *caller) readTableOnce(ctx context.Context, table string) ([][2]string, error) {
	conn, err := c.entryConn(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := conn.Query(ctx, c.hintComment(hints{})+"SELECT key, value FROM "+table,
		pgx.QueryExecModeSimpleProtocol)
	if err != nil {
		return nil, errors.Trace(err)
	}
	var out [][2]string
	for rows.Next() {
		v := rows.RawValues()
		out = append(out, [2]string{string(v[0]), string(v[1])})
	}
	return out, errors.Trace(rows.Err())
}
