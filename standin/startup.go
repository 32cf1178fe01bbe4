package standin

import (
	"crypto/rand"
	"maps"
	"net"
	"sort"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/xdg-go/scram"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// followerApplication is the application name that identifies connections
// between instances.
const followerApplication = "standin-follower"

// scramIterations is PostgreSQL's default number of SCRAM iterations.
const scramIterations = 4096

// serveConn serves one connection until it ends.
func (s *Server) serveConn(n net.Conn) {
	c := newConn(s, n)
	s.freeze.waitThawed()
	ok, err := c.handleStartup()
	if err != nil || !ok {
		return
	}
	defer s.unregister(c)
	defer c.abort()
	c.messageLoop()
}

// handleStartup handles the startup messages of a connection. It returns false
// if no session follows.
func (c *conn) handleStartup() (bool, error) {
	for {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return false, errors.Trace(err)
		}
		c.server.freeze.waitThawed()
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.socket.Write([]byte{'N'}); err != nil {
				return false, errors.Trace(err)
			}
		case *pgproto3.CancelRequest:
			c.server.cancelStatement(m.ProcessID, m.SecretKey)
			return false, nil
		case *pgproto3.StartupMessage:
			return c.openSession(m)
		}
	}
}

func (c *conn) openSession(m *pgproto3.StartupMessage) (bool, error) {
	c.internal = m.Parameters["application_name"] == followerApplication
	if !c.server.register(c) {
		return false, c.sendFatal(newSQLError(codeTooManyConnections, "sorry, too many clients already"))
	}
	if err := c.initSession(m); err != nil {
		c.server.unregister(c)
		return false, err
	}
	return true, nil
}

func (c *conn) sendFatal(err error) error {
	c.backend.Send(errorResponse("FATAL", err))
	return c.flush()
}

func (c *conn) initSession(m *pgproto3.StartupMessage) error {
	if err := sleepContext(c.server.ctx, c.server.options.ConnectDelay); err != nil {
		return err
	}
	if c.server.options.Password != "" && !c.internal {
		if err := c.authenticate(m.Parameters["user"]); err != nil {
			_ = c.sendFatal(newSQLError(codePassword, "password authentication failed for user %q", m.Parameters["user"]))
			return errors.Trace(err)
		}
	}
	c.vars = maps.Clone(defaultVars)
	for name, v := range m.Parameters {
		if name != "user" && name != "database" {
			c.vars[lower(name)] = v
		}
	}
	c.initialVars = maps.Clone(c.vars)
	c.secret = make([]byte, 4)
	if _, err := rand.Read(c.secret); err != nil {
		return errors.Trace(err)
	}
	c.backend.Send(&pgproto3.AuthenticationOk{})
	c.reportVariables()
	c.backend.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.backend.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.flush()
}

func (c *conn) reportVariables() {
	names := make([]string, 0, len(reportedVars))
	for name := range reportedVars {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c.backend.Send(&pgproto3.ParameterStatus{Name: reportedVars[name], Value: c.vars[name]})
	}
	role, _ := c.server.store.status()
	c.backend.Send(&pgproto3.ParameterStatus{
		Name: "in_hot_standby", Value: onOff(role == catalog.RoleReplica),
	})
}

// authenticate runs SCRAM-SHA-256 with the client.
func (c *conn) authenticate(user string) error {
	o := c.server.options
	if o.User != "" && user != o.User {
		return errors.New("unknown user")
	}
	conversation, err := c.server.newSCRAMConversation()
	if err != nil {
		return err
	}
	c.backend.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	if err := c.sendAuthRequest(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	m, err := c.backend.Receive()
	if err != nil {
		return errors.Trace(err)
	}
	initialResponse, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok {
		return errors.New("no SASL response")
	}
	reply, err := conversation.Step(string(initialResponse.Data))
	if err != nil {
		return errors.Trace(err)
	}
	c.backend.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(reply)})
	if err := c.sendAuthRequest(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	if m, err = c.backend.Receive(); err != nil {
		return errors.Trace(err)
	}
	finalResponse, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return errors.New("no SASL response")
	}
	reply, err = conversation.Step(string(finalResponse.Data))
	if err != nil || !conversation.Valid() {
		return errors.New("wrong password")
	}
	c.backend.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(reply)})
	return nil
}

func (c *conn) sendAuthRequest(auth uint32) error {
	if err := c.backend.SetAuthType(auth); err != nil {
		return errors.Trace(err)
	}
	return c.flush()
}

// newSCRAMConversation starts the server's side of a SCRAM exchange.
func (s *Server) newSCRAMConversation() (*scram.ServerConversation, error) {
	salt := make([]byte, 16)
	if _, err := rand.Read(salt); err != nil {
		return nil, errors.Trace(err)
	}
	client, err := scram.SHA256.NewClient("", s.options.Password, "")
	if err != nil {
		return nil, errors.Trace(err)
	}
	credentials, err := client.GetStoredCredentialsWithError(
		scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return nil, errors.Trace(err)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return credentials, nil
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return server.NewConversation(), nil
}
