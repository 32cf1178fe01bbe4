package listener

import (
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
)

// flushSize is how many bytes gather before they are written, in bytes.
const flushSize = 16 << 10

// output gathers what goes to a caller.
type output struct {
	conn    net.Conn
	pending []byte
	// failed is the first error of a write.
	failed error
}

// add appends a message. Messages that can't be encoded fail the output.
func (o *output) add(m pgproto3.BackendMessage) {
	next, err := m.Encode(o.pending)
	if err != nil {
		o.failed = err
		return
	}
	o.pending = next
}

// discard forgets what was gathered and not yet written.
func (o *output) discard() {
	o.pending = o.pending[:0]
}

// flush writes what was gathered. It blocks while the caller doesn't read.
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
