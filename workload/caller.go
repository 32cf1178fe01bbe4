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

// maxResends is the maximum number of times that a booking of unknown outcome
// is sent again.
const maxResends = 5

// caller simulates a caller with one session. It sends one request at a time.
type caller struct {
	run     *run
	index   int
	service string
	session string
	// token is the last session token received from any entry.
	token  string
	random *rand.Rand
	// conns holds the open connections by the entry's address.
	conns map[string]*pgx.Conn
	// entry is the address of the entry for the next request.
	entry string
	// sequence is the number of the last booking or register value.
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

// rowKey returns the key of the row of one kind that belongs to caller i.
func (c *caller) rowKey(kind string, i int) string {
	return fmt.Sprintf("%s-%s-%d", kind, c.run.id, i)
}

// runSchedule sends requests at a fixed rate until the run is over. A late
// request is sent at once, and its latency counts from its scheduled start.
func (c *caller) runSchedule(ctx context.Context) {
	interval := time.Duration(float64(c.run.options.Callers) / c.run.options.Rate * float64(time.Second))
	due := time.Duration(c.random.Float64() * float64(interval))
	for ; due < c.run.options.Duration; due += interval {
		if delay := due - c.run.elapsed(); delay > 0 {
			time.Sleep(delay)
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

// Cumulative shares, in percent, of the requests that are neither browsing reads
// nor the reads of Options.ReadShare. The rest are transfers.
const (
	bookingThreshold = 35
	writeThreshold   = 20 + bookingThreshold
	readThreshold    = 30 + writeThreshold
	counterThreshold = 8 + readThreshold
)

// sendNext picks a request at random and sends it.
func (c *caller) sendNext(ctx context.Context, due time.Duration) {
	o := history.Operation{Service: c.service, Session: c.session, Start: due}
	if c.random.Float64() < c.run.options.BrowseShare {
		c.browse(ctx, o)
		return
	}
	if readShare := c.run.options.ReadShare; readShare > 0 && c.random.Float64() < readShare {
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

// browse reads the register of a random caller of the same service.
func (c *caller) browse(ctx context.Context, o history.Operation) {
	serviceCount := len(c.run.options.Services)
	sameServiceCallers := (c.run.options.Callers - c.index%serviceCount + serviceCount - 1) / serviceCount
	other := c.index%serviceCount + serviceCount*c.random.IntN(sameServiceCallers)
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

// book makes a booking. Half of the bookings have a request id; these are sent
// again through a random entry, at most maxResends times, while their outcome is
// unknown.
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
		// A refusal covers this attempt only: the outcome of the earlier ones
		// stays unknown.
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
