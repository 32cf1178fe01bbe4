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
	// err is an error of encoding or writing. No more messages are written after
	// it.
	err error
}

// add buffers a message. The next flush returns the error if the message can't be
// encoded.
func (o *output) add(m pgproto3.BackendMessage) {
	next, err := m.Encode(o.pending)
	if err != nil {
		o.err = err
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
	if o.err != nil {
		return o.err
	}
	if len(o.pending) == 0 {
		return nil
	}
	_, o.err = o.conn.Write(o.pending)
	if cap(o.pending) > 4*flushSize {
		o.pending = nil
	}
	o.discard()
	return o.err
}
