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

// again is the wait between two attempts at setting up or reading back.
const again = 100 * time.Millisecond

// setUp makes the caller's rows.
func (c *caller) setUp(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, backTime)
	defer cancel()
	start := strconv.Itoa(deposit)
	for _, row := range [][3]string{
		{"register", c.row("register", c.number), "0"},
		{"counter", c.row("counter", c.number), "0"},
		{"account", c.row("from", c.number), start},
		{"account", c.row("to", c.number), start},
	} {
		text := "INSERT INTO " + row[0] + " (key, value) VALUES ($1, $2) ON CONFLICT (key) DO NOTHING"
		for c.ask(ctx, hints{}, text, row[1], row[2]).outcome != history.OutcomeAcknowledged {
			c.otherEntry()
			if err := wait(ctx); err != nil {
				return errors.Annotatef(err, "set up %s", row[0])
			}
		}
	}
	return nil
}

func wait(ctx context.Context) error {
	select {
	case <-time.After(again):
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// readBack reads all rows of the run through an entry.
func (r *run) readBack(ctx context.Context, callers []*caller) (history.Final, error) {
	f := history.Final{
		Bookings: map[history.RowID]int{}, Counters: map[history.RowID]int64{},
		WantSum: int64(len(callers)) * 2 * deposit,
	}
	ctx, cancel := context.WithTimeout(ctx, backTime)
	defer cancel()
	for i, s := range r.options.Services {
		c := newCaller(r, i)
		c.session = "read-back-" + r.name
		for _, table := range []string{"booking", "counter", "account"} {
			rows, err := c.table(ctx, table)
			if err != nil {
				return f, errors.Annotatef(err, "read back %s of %s", table, s)
			}
			r.sort(&f, s, table, rows)
		}
		c.close()
	}
	return f, nil
}

// sort puts rows into what was read back, without those of other runs.
func (r *run) sort(f *history.Final, service, table string, rows [][2]string) {
	for _, row := range rows {
		if !strings.Contains(row[0], "-"+r.name+"-") {
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

// table reads a whole table, in as many attempts as the time allows.
func (c *caller) table(ctx context.Context, table string) ([][2]string, error) {
	for {
		rows, err := c.tableOnce(ctx, table)
		if err == nil {
			return rows, nil
		}
		c.drop(c.entry)
		c.otherEntry()
		if wait(ctx) != nil {
			return nil, err
		}
	}
}

func (c *caller) tableOnce(ctx context.Context, table string) ([][2]string, error) {
	p, err := c.conn(ctx)
	if err != nil {
		return nil, err
	}
	rows, err := p.Query(ctx, c.comment(hints{})+"SELECT key, value FROM "+table,
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
