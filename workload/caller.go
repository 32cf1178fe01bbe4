package workload

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/jackc/pgx/v5"

	"github.com/kingcupknot/kingcupknot/history"
)

// resends bounds how often a booking of unknown outcome is sent again.
const resends = 5

// caller is one client with one session, which asks one thing at a time.
type caller struct {
	run     *run
	number  int
	service string
	session string
	// token is the newest that any entry gave this session.
	token  string
	random *rand.Rand
	// conns are the open connections by entry.
	conns map[string]*pgx.Conn
	entry string
	// next numbers the bookings and the register values.
	next int64
}

func newCaller(r *run, i int) *caller {
	c := &caller{
		run: r, number: i, random: r.random(i),
		service: r.options.Services[i%len(r.options.Services)],
		session: fmt.Sprintf("s-%s-%d", r.name, i),
		conns:   map[string]*pgx.Conn{},
	}
	c.entry = r.options.Entries[i%len(r.options.Entries)]
	return c
}

// row names a row of caller i.
func (c *caller) row(what string, i int) string {
	return fmt.Sprintf("%s-%s-%d", what, c.run.name, i)
}

// loop starts requests on schedule. A late request starts at once and its
// latency counts from when it was due.
func (c *caller) loop(ctx context.Context) {
	gap := time.Duration(float64(c.run.options.Callers) / c.run.options.Rate * float64(time.Second))
	due := time.Duration(c.random.Float64() * float64(gap))
	for ; due < c.run.options.Duration; due += gap {
		if wait := due - c.run.now(); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil || c.run.now() > c.run.options.Duration+requestTime {
			return
		}
		c.one(ctx, due)
		if c.run.options.Move && c.run.options.Mode != SessionConnection {
			c.otherEntry()
		}
	}
}

func (c *caller) otherEntry() {
	c.entry = c.run.options.Entries[c.random.IntN(len(c.run.options.Entries))]
}

// Shares of the requests that are no browsing, in percent.
const (
	shareBooking = 35
	shareWrite   = 20 + shareBooking
	shareRead    = 30 + shareWrite
	shareCounter = 8 + shareRead
)

// one draws and does one request.
func (c *caller) one(ctx context.Context, due time.Duration) {
	o := history.Operation{Service: c.service, Session: c.session, Start: due}
	if c.random.Float64() < c.run.options.Browse {
		c.browse(ctx, o)
		return
	}
	if reads := c.run.options.ReadShare; reads > 0 && c.random.Float64() < reads {
		o.Kind, o.Key = history.KindRegisterRead, c.row("register", c.number)
		c.read(ctx, o, hints{})
		return
	}
	switch n := c.random.IntN(100); {
	case n < shareBooking:
		c.book(ctx, o)
	case n < shareWrite:
		c.next++
		o.Kind, o.Key, o.Value = history.KindRegisterWrite, c.row("register", c.number), c.next
		c.finish(o, c.ask(ctx, hints{}, "UPDATE register SET value = $1 WHERE key = $2",
			strconv.FormatInt(o.Value, 10), o.Key))
	case n < shareRead:
		o.Kind, o.Key = history.KindRegisterRead, c.row("register", c.number)
		c.read(ctx, o, hints{})
	case n < shareCounter:
		o.Kind, o.Key = history.KindCounter, c.row("counter", c.number)
		c.finish(o, c.ask(ctx, hints{}, "UPDATE counter SET value = value + 1 WHERE key = $1", o.Key))
	default:
		o.Kind, o.Key = history.KindTransfer, c.row("transfer", c.number)
		c.finish(o, c.transfer(ctx))
	}
}

// browse reads the register of any caller of the same service.
func (c *caller) browse(ctx context.Context, o history.Operation) {
	services := len(c.run.options.Services)
	same := (c.run.options.Callers - c.number%services + services - 1) / services
	other := c.number%services + services*c.random.IntN(same)
	o.Kind, o.Key, o.MaxAge = history.KindBrowse, c.row("register", other), c.run.options.MaxAge
	c.read(ctx, o, hints{class: "browse", maxAge: o.MaxAge})
}

func (c *caller) read(ctx context.Context, o history.Operation, h hints) {
	a := c.ask(ctx, h, "SELECT value FROM register WHERE key = $1", o.Key)
	if a.outcome == history.OutcomeAcknowledged {
		o.Value, _ = strconv.ParseInt(a.value, 10, 64)
	}
	c.finish(o, a)
}

// book makes a booking. Half of them carry a request id, and are sent again
// through another entry as long as their outcome is unknown.
func (c *caller) book(ctx context.Context, o history.Operation) {
	c.next++
	o.Kind, o.Key = history.KindBooking, fmt.Sprintf("%s-%d", c.session, c.next)
	h := hints{class: "booking"}
	tries := 0
	if c.random.IntN(2) == 0 && c.run.options.Mode != SessionConnection {
		h.request, tries = "r-"+o.Key, resends
	}
	const text = "INSERT INTO booking (key, value) VALUES ($1, $2)"
	a := c.ask(ctx, h, text, o.Key, c.session)
	for ; tries > 0 && a.outcome == history.OutcomeUnknown; tries-- {
		c.otherEntry()
		c.run.resent.Add(1)
		again := c.ask(ctx, h, text, o.Key, c.session)
		// A refusal is of this sending; the ones before stay unknown.
		if again.outcome == history.OutcomeAcknowledged {
			a = again
		}
	}
	c.finish(o, a)
}

func (c *caller) finish(o history.Operation, a answer) {
	o.End, o.Outcome, o.Replica = c.run.now(), a.outcome, a.replica
	c.run.record(o)
}

func (c *caller) close() {
	for entry := range c.conns {
		c.drop(entry)
	}
}
