package upstream

import (
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
)

// cancelTimeout bounds the whole of one cancel request.
const cancelTimeout = 2 * time.Second

// Cancel asks the upstream to cancel what runs on the connection. It returns
// once the upstream closed the request's own connection, so that the cancel
// can't hit what runs later. After an error it still may.
func (c *Conn) Cancel() error {
	conn, err := net.DialTimeout("tcp", c.address, cancelTimeout)
	if err != nil {
		return errors.Annotate(err, "connection for a cancel request")
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(cancelTimeout)); err != nil {
		return errors.Trace(err)
	}
	request := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secretKey}
	encoded, err := request.Encode(nil)
	if err != nil {
		return errors.Annotate(err, "cancel request")
	}
	if _, err := conn.Write(encoded); err != nil {
		return errors.Annotate(err, "cancel request")
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		return errors.Annotate(err, "end of the cancel request")
	}
	return nil
}

// Abandon stops what runs on the connection and makes the user's reads and
// writes fail. The connection must be discarded then.
func (c *Conn) Abandon() {
	c.Interrupt()
	go func() { _ = c.Cancel() }()
}
