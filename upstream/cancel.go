package upstream

import (
	"io"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
)

// cancelTimeout bounds one cancel request from dialling to its end. It also
// bounds the orderly close of an idle connection of the Surveyor.
const cancelTimeout = 2 * time.Second

// Cancel asks the upstream to cancel the statement that runs on the connection.
// It sends the request over a separate connection and returns after the
// upstream has closed that connection, so that the request can't cancel a later
// statement. If Cancel returns an error, a later statement may still be
// cancelled.
func (c *Conn) Cancel() error {
	conn, err := net.DialTimeout("tcp", c.address, cancelTimeout)
	if err != nil {
		return errors.Annotate(err, "connect for a cancel request")
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(cancelTimeout)); err != nil {
		return errors.Trace(err)
	}
	request := pgproto3.CancelRequest{ProcessID: c.pid, SecretKey: c.secretKey}
	encoded, err := request.Encode(nil)
	if err != nil {
		return errors.Annotate(err, "encode the cancel request")
	}
	if _, err := conn.Write(encoded); err != nil {
		return errors.Annotate(err, "send the cancel request")
	}
	if _, err := io.Copy(io.Discard, conn); err != nil {
		return errors.Annotate(err, "wait for the end of the cancel request")
	}
	return nil
}

// Abandon closes the connection, so that the user's reads and writes fail, and
// asks the upstream in the background to cancel the running statement. The user
// must call Discard afterwards.
func (c *Conn) Abandon() {
	c.Interrupt()
	go func() { _ = c.Cancel() }()
}
