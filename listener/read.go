package listener

import (
	"bytes"
	"errors"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/statement"
)

// batch is a unit of work that a caller sends: a simple query, or the messages of
// the extended protocol up to Sync or Flush.
type batch struct {
	// query is nil for the extended protocol.
	query *pgproto3.Query
	steps []*step
	// sql are the statements that the batch executes.
	sql statement.Batch
	// text is the SQL text that may contain hints in comments.
	text string
	// digest holds the statements without hints and their parameters. A request
	// with the same request id is equal if its digest is.
	digest [][]byte
	// duplicateName is a statement name that the batch prepares although it is
	// in use.
	duplicateName string
	// endedByFlush is set if the batch was ended by Flush.
	endedByFlush bool
	// arrivedAt is when the last message of the batch was received.
	arrivedAt catalog.Instant
}

// readMessages reads messages from the network until the caller disconnects or
// cleanUp is called.
func (c *caller) readMessages() {
	defer close(c.disconnected)
	for {
		m, err := c.backend.Receive()
		if err != nil {
			c.readErr = err
			return
		}
		select {
		case c.messages <- cloneMessage(m):
		case <-c.stopped:
			return
		}
	}
}

// cloneMessage returns a copy of a message that stays valid while the next
// message is read.
func cloneMessage(m pgproto3.FrontendMessage) pgproto3.FrontendMessage {
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

// nextBatch collects the messages of the next batch. It returns neither a batch
// nor a fault if the caller has disconnected.
func (c *caller) nextBatch() (*batch, *fault) {
	var extended []pgproto3.FrontendMessage
	size := 0
	for {
		m, f := c.nextMessage(len(extended) == 0 && c.status == statusIdle)
		if m == nil {
			return nil, f
		}
		if c.skipsToSync && !endsSkip(m) {
			continue
		}
		switch m := m.(type) {
		case *pgproto3.Terminate:
			return nil, nil
		case *pgproto3.Query:
			return c.simpleBatch(m), nil
		case *pgproto3.Sync:
			c.skipsToSync = false
			return c.extendedBatch(extended), nil
		case *pgproto3.Flush:
			if preparesOnly(extended) {
				b := c.extendedBatch(extended)
				b.endedByFlush = true
				return b, nil
			}
		case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
			// As in PostgreSQL, the rest of a failed COPY is discarded.
		case *pgproto3.FunctionCall:
			return nil, &fault{Code: codeNotSupported, Text: "function calls by number are not carried; use SELECT", Fatal: true}
		default:
			size += messageSize(m)
			if size > c.server.options.MaxMessage {
				return nil, &fault{Code: codeLimitExceeded, Text: "the request is too large; send it in parts", Fatal: true}
			}
			extended = append(extended, m)
		}
	}
}

// preparesOnly reports whether there are messages and all of them only prepare or
// describe statements. Only then may Flush end a batch: executed statements must
// stay in one batch with the Sync that commits them.
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

// endsSkip reports whether a message ends the discarding of messages after an
// error.
func endsSkip(m pgproto3.FrontendMessage) bool {
	switch m.(type) {
	case *pgproto3.Sync, *pgproto3.Terminate:
		return true
	}
	return false
}

// nextMessage returns the caller's next message, or nil once the caller has
// disconnected. It returns a fatal fault if a message was too large, and for an
// idle caller during a planned stop.
func (c *caller) nextMessage(isIdle bool) (pgproto3.FrontendMessage, *fault) {
	draining := c.server.draining
	if !isIdle {
		draining = nil
	}
	select {
	case m := <-c.messages:
		if isIdle && c.server.isDraining() {
			// The message and the start of the stop arrived together.
			return nil, stoppingFault()
		}
		return m, nil
	case <-c.disconnected:
		var exceeded *pgproto3.ExceededMaxBodyLenErr
		if errors.As(c.readErr, &exceeded) {
			return nil, &fault{Code: codeLimitExceeded, Text: "the message is too large; send it in parts", Fatal: true}
		}
		return nil, nil
	case <-draining:
		return nil, stoppingFault()
	}
}

// stoppingFault returns the fault that disconnects an idle caller during a
// planned stop.
func stoppingFault() *fault {
	return &fault{
		Code: codeNotRun, Text: "not run: this entry is stopping; connect again", Fatal: true,
		Hint: retryHint(stopRetryDelay), DrainInput: true,
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

// simpleBatch returns the batch of a simple query.
func (c *caller) simpleBatch(m *pgproto3.Query) *batch {
	return &batch{
		query:     m,
		sql:       statement.Parse(m.String),
		text:      m.String,
		digest:    [][]byte{[]byte(statement.StripHints(m.String))},
		arrivedAt: c.server.options.Now(),
	}
}
