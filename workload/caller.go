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

// maxResends bounds how often a booking of unknown outcome is sent again.
const maxResends = 5

// caller is one client with one session, which asks one thing at a time.
type caller struct {
	run     *run
	index   int
	service string
	session string
	// token is the newest that any entry gave this session.
	token  string
	random *rand.Rand
	// conns are the open connections by entry.
	conns map[string]*pgx.Conn
	entry string
	// sequence numbers the bookings and the register values.
	sequence int64
}

func newCaller(r *run, i int) *caller {
	c := &caller{
		run: r, index: i, random: r.newRandom(i),
		service: r.options.Services[i%len(r.options.Services)],
		session: fmt.Sprintf("s-%s-%d", r.id, i),
		conns:   map[string]*pgx.Conn{},
	}
	c.entry = r.options.Entries[i%len(r.options.Entries)]
	return c
}

// rowKey names a rowKey of caller i.
func (c *caller) rowKey(kind string, i int) string {
	return fmt.Sprintf("%s-%s-%d", kind, c.run.id, i)
}

// runSchedule starts requests on schedule. A late request starts at once and its
// latency counts from when it was due.
func (c *caller) runSchedule(ctx context.Context) {
	interval := time.Duration(float64(c.run.options.Callers) / c.run.options.Rate * float64(time.Second))
	due := time.Duration(c.random.Float64() * float64(interval))
	for ; due < c.run.options.Duration; due += interval {
		if wait := due - c.run.elapsed(); wait > 0 {
			time.Sleep(wait)
		}
		if ctx.Err() != nil || c.run.elapsed() > c.run.options.Duration+requestTimeout {
			return
		}
		c.sendNext(ctx, due)
		if c.run.options.SwitchEntries && c.run.options.Mode != SessionConnection {
			c.switchEntry()
		}
	}
}

func (c *caller) switchEntry() {
	c.entry = c.run.options.Entries[c.random.IntN(len(c.run.options.Entries))]
}

// Shares of the requests that are no browsing, in percent.
const (
	bookingThreshold = 35
	writeThreshold   = 20 + bookingThreshold
	readThreshold    = 30 + writeThreshold
	counterThreshold = 8 + readThreshold
)

// sendNext draws and does sendNext request.
func (c *caller) sendNext(ctx context.Context, due time.Duration) {
	o := history.Operation{Service: c.service, Session: c.session, Start: due}
	if c.random.Float64() < c.run.options.BrowseShare {
		c.browse(ctx, o)
		return
	}
	if reads := c.run.options.ReadShare; reads > 0 && c.random.Float64() < reads {
		o.Kind, o.Key = history.KindRegisterRead, c.rowKey("register", c.index)
		c.read(ctx, o, hints{})
		return
	}
	switch n := c.random.IntN(100); {
	case n < bookingThreshold:
		c.book(ctx, o)
	case n < writeThreshold:
		c.sequence++
		o.Kind, o.Key, o.Value = history.KindRegisterWrite, c.rowKey("register", c.index), c.sequence
		c.recordResult(o, c.send(ctx, hints{}, "UPDATE register SET value = $1 WHERE key = $2",
			strconv.FormatInt(o.Value, 10), o.Key))
	case n < readThreshold:
		o.Kind, o.Key = history.KindRegisterRead, c.rowKey("register", c.index)
		c.read(ctx, o, hints{})
	case n < counterThreshold:
		o.Kind, o.Key = history.KindCounter, c.rowKey("counter", c.index)
		c.recordResult(o, c.send(ctx, hints{}, "UPDATE counter SET value = value + 1 WHERE key = $1", o.Key))
	default:
		o.Kind, o.Key = history.KindTransfer, c.rowKey("transfer", c.index)
		c.recordResult(o, c.transfer(ctx))
	}
}

// browse reads the register of any caller of the same service.
func (c *caller) browse(ctx context.Context, o history.Operation) {
	services := len(c.run.options.Services)
	sameService := (c.run.options.Callers - c.index%services + services - 1) / services
	other := c.index%services + services*c.random.IntN(sameService)
	o.Kind, o.Key, o.MaxAge = history.KindBrowse, c.rowKey("register", other), c.run.options.MaxAge
	c.read(ctx, o, hints{class: "browse", maxAge: o.MaxAge})
}

func (c *caller) read(ctx context.Context, o history.Operation, h hints) {
	a := c.send(ctx, h, "SELECT value FROM register WHERE key = $1", o.Key)
	if a.outcome == history.OutcomeAcknowledged {
		o.Value, _ = strconv.ParseInt(a.value, 10, 64)
	}
	c.recordResult(o, a)
}

// book makes a booking. Half of them carry a request id, and are sent again
// through another entry as long as their outcome is unknown.
func (c *caller) book(ctx context.Context, o history.Operation) {
	c.sequence++
	o.Kind, o.Key = history.KindBooking, fmt.Sprintf("%s-%d", c.session, c.sequence)
	h := hints{class: "booking"}
	resendsLeft := 0
	if c.random.IntN(2) == 0 && c.run.options.Mode != SessionConnection {
		h.request, resendsLeft = "r-"+o.Key, maxResends
	}
	const text = "INSERT INTO booking (key, value) VALUES ($1, $2)"
	a := c.send(ctx, h, text, o.Key, c.session)
	for ; resendsLeft > 0 && a.outcome == history.OutcomeUnknown; resendsLeft-- {
		c.switchEntry()
		c.run.resends.Add(1)
		resent := c.send(ctx, h, text, o.Key, c.session)
		// A refusal is of this sending; the ones before stay unknown.
		if resent.outcome == history.OutcomeAcknowledged {
			a = resent
		}
	}
	c.recordResult(o, a)
}

func (c *caller) recordResult(o history.Operation, a requestResult) {
	o.End, o.Outcome, o.Replica = c.run.elapsed(), a.outcome, a.replica
	c.run.record(o)
}

func (c *caller) closeConns() {
	for entry := range c.conns {
		c.dropConn(entry)
	}
}
