package listener

import (
	"bytes"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/statement"
)

// batch is what a caller asks for at once: a simple query, or the messages of
// the extended protocol up to Sync.
type batch struct {
	// query is nil for the extended protocol.
	query *pgproto3.Query
	steps []*step
	// sql is what the batch executes.
	sql statement.Batch
	// text is where the hints stand.
	text string
	// digest are the parts that make a repeated request equal.
	digest [][]byte
	// duplicate is a name that the batch prepares although it is in use.
	duplicate string
	// flush is set if the batch was ended by Flush.
	flush bool
	// arrived is when the batch was complete.
	arrived catalog.Instant
}

// read takes messages from the network until the caller is gone.
func (c *caller) read() {
	defer close(c.gone)
	for {
		m, err := c.backend.Receive()
		if err != nil {
			c.broken = err
			return
		}
		select {
		case c.messages <- own(m):
		case <-c.left:
			return
		}
	}
}

// own returns a message that stays valid while the next one is read.
func own(m pgproto3.FrontendMessage) pgproto3.FrontendMessage {
	switch m := m.(type) {
	case *pgproto3.Query:
		return &pgproto3.Query{String: m.String}
	case *pgproto3.Parse:
		out := *m
		return &out
	case *pgproto3.Bind:
		out := *m
		for i, p := range out.Parameters {
			out.Parameters[i] = bytes.Clone(p)
		}
		return &out
	case *pgproto3.Describe:
		out := *m
		return &out
	case *pgproto3.Execute:
		out := *m
		return &out
	case *pgproto3.Close:
		out := *m
		return &out
	case *pgproto3.CopyData:
		return &pgproto3.CopyData{Data: bytes.Clone(m.Data)}
	case *pgproto3.CopyFail:
		out := *m
		return &out
	}
	return m
}

// gather collects the next batch. Without batch and fault the caller left.
func (c *caller) gather() (*batch, *fault) {
	var extended []pgproto3.FrontendMessage
	size := 0
	for {
		m, f := c.next(len(extended) == 0 && c.status == statusIdle)
		if m == nil {
			return nil, f
		}
		if c.skipping && !endsSkipping(m) {
			continue
		}
		switch m := m.(type) {
		case *pgproto3.Terminate:
			return nil, nil
		case *pgproto3.Query:
			return c.simple(m), nil
		case *pgproto3.Sync:
			c.skipping = false
			return c.extended(extended), nil
		case *pgproto3.Flush:
			if preparesOnly(extended) {
				b := c.extended(extended)
				b.flush = true
				return b, nil
			}
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
			// Remains of a copy that failed are dropped, as PostgreSQL does.
		case *pgproto3.FunctionCall:
			return nil, &fault{Code: codeFeature, Text: "function calls by number are not carried; use SELECT", Fatal: true}
		default:
			size += messageSize(m)
			if size > c.server.options.MaxMessage {
				return nil, &fault{Code: codeLimit, Text: "the request is too large; send it in parts", Fatal: true}
			}
			extended = append(extended, m)
		}
	}
}

// preparesOnly reports whether there are messages and none executes anything.
// Only then may Flush end a batch: work in progress has to stay with the Sync
// that commits it.
func preparesOnly(messages []pgproto3.FrontendMessage) bool {
	for _, m := range messages {
		switch m := m.(type) {
		case *pgproto3.Parse:
		case *pgproto3.Describe:
			if m.ObjectType != 'S' {
				return false
			}
		default:
			return false
		}
	}
	return len(messages) > 0
}

func endsSkipping(m pgproto3.FrontendMessage) bool {
	switch m.(type) {
	case *pgproto3.Sync, *pgproto3.Terminate:
		return true
	}
	return false
}

// next returns the next message. An idle caller is sent away in a planned
// stop.
func (c *caller) next(idle bool) (pgproto3.FrontendMessage, *fault) {
	draining := c.server.draining
	if !idle {
		draining = nil
	}
	select {
	case m := <-c.messages:
		return m, nil
	case <-c.gone:
		var exceeded *pgproto3.ExceededMaxBodyLenErr
		if errors.As(c.broken, &exceeded) {
			return nil, &fault{Code: codeLimit, Text: "the message is too large; send it in parts", Fatal: true}
		}
		return nil, nil
	case <-draining:
		return nil, &fault{
			Code: codeNotRun, Text: "not run: this entry is stopping; connect again", Fatal: true,
			Hint: retryHint(stopRetry), Linger: true,
		}
	}
}

// messageSize estimates the memory of a message, in bytes.
func messageSize(m pgproto3.FrontendMessage) int {
	const overhead = 64
	size := overhead
	switch m := m.(type) {
	case *pgproto3.Parse:
		size += len(m.Query) + len(m.Name)
	case *pgproto3.Bind:
		for _, p := range m.Parameters {
			size += len(p) + 24
		}
	}
	return size
}

func (c *caller) simple(m *pgproto3.Query) *batch {
	return &batch{
		query:   m,
		sql:     statement.Parse(m.String),
		text:    m.String,
		digest:  [][]byte{[]byte(statement.StripHints(m.String))},
		arrived: c.server.options.Now(),
	}
}
