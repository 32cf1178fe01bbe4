package listener

import (
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushSize is the number of bytes that are collected before they are written.
const flushSize = 16 << 10

// output buffers the messages for a caller.
type output struct {
	conn    net.Conn
	pending []byte
	// failed is the first error of encoding or writing. No more messages are
	// written after it.
	failed error
}

// add buffers a message. An error of encoding is returned by the next flush.
func (o *output) add(m pgproto3.BackendMessage) {
	next, err := m.Encode(o.pending)
	if err != nil {
		o.failed = err
		return
	}
	o.pending = next
}

// discard removes the buffered messages.
func (o *output) discard() {
	o.pending = o.pending[:0]
}

// flush writes the buffered messages. It blocks while the caller doesn't read.
func (o *output) flush() error {
	if o.failed != nil {
		return o.failed
	}
	if len(o.pending) == 0 {
		return nil
	}
	_, o.failed = o.conn.Write(o.pending)
	if cap(o.pending) > 4*flushSize {
		o.pending = nil
	}
	o.discard()
	return o.failed
}
