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

// followerName is the application name of connections between instances.
const followerName = "standin-follower"

// scramIterations is PostgreSQL's default.
const scramIterations = 4096

// serve answers one connection until it ends.
func (s *Server) serve(n net.Conn) {
	c := newConn(s, n)
	s.gate.pass()
	ok, err := c.start()
	if err != nil || !ok {
		return
	}
	defer s.unregister(c)
	defer c.abort()
	c.loop()
}

// start does the startup phase. It reports false for a connection that carries
// no session.
func (c *conn) start() (bool, error) {
	for {
		m, err := c.back.ReceiveStartupMessage()
		if err != nil {
			return false, errors.Trace(err)
		}
		c.server.gate.pass()
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.net.Write([]byte{'N'}); err != nil {
				return false, errors.Trace(err)
			}
		case *pgproto3.CancelRequest:
			c.server.cancelStatement(m.ProcessID, m.SecretKey)
			return false, nil
		case *pgproto3.StartupMessage:
			return c.open(m)
		}
	}
}

func (c *conn) open(m *pgproto3.StartupMessage) (bool, error) {
	c.internal = m.Parameters["application_name"] == followerName
	if !c.server.register(c) {
		return false, c.refuse(fail(codeTooMany, "sorry, too many clients already"))
	}
	if err := c.welcome(m); err != nil {
		c.server.unregister(c)
		return false, err
	}
	return true, nil
}

func (c *conn) refuse(err error) error {
	c.back.Send(response("FATAL", err))
	return c.flush()
}

func (c *conn) welcome(m *pgproto3.StartupMessage) error {
	if err := pause(c.server.ctx, c.server.options.ConnectDelay); err != nil {
		return err
	}
	if c.server.options.Password != "" && !c.internal {
		if err := c.authenticate(m.Parameters["user"]); err != nil {
			_ = c.refuse(fail(codePassword, "password authentication failed for user %q", m.Parameters["user"]))
			return errors.Trace(err)
		}
	}
	c.vars = maps.Clone(defaults)
	for name, v := range m.Parameters {
		if name != "user" && name != "database" {
			c.vars[lower(name)] = v
		}
	}
	c.initial = maps.Clone(c.vars)
	c.secret = make([]byte, 4)
	if _, err := rand.Read(c.secret); err != nil {
		return errors.Trace(err)
	}
	c.back.Send(&pgproto3.AuthenticationOk{})
	c.reportVariables()
	c.back.Send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.back.Send(&pgproto3.ReadyForQuery{TxStatus: 'I'})
	return c.flush()
}

func (c *conn) reportVariables() {
	names := make([]string, 0, len(reported))
	for name := range reported {
		names = append(names, name)
	}
	sort.Strings(names)
	for _, name := range names {
		c.back.Send(&pgproto3.ParameterStatus{Name: reported[name], Value: c.vars[name]})
	}
	role, _ := c.server.store.status()
	c.back.Send(&pgproto3.ParameterStatus{
		Name: "in_hot_standby", Value: onOff(role == catalog.RoleReplica),
	})
}

// authenticate runs SCRAM-SHA-256 with the client.
func (c *conn) authenticate(user string) error {
	o := c.server.options
	if o.User != "" && user != o.User {
		return errors.New("unknown user")
	}
	talk, err := c.server.conversation()
	if err != nil {
		return err
	}
	c.back.Send(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{"SCRAM-SHA-256"}})
	if err := c.ask(pgproto3.AuthTypeSASL); err != nil {
		return err
	}
	m, err := c.back.Receive()
	if err != nil {
		return errors.Trace(err)
	}
	first, ok := m.(*pgproto3.SASLInitialResponse)
	if !ok {
		return errors.New("no SASL response")
	}
	answer, err := talk.Step(string(first.Data))
	if err != nil {
		return errors.Trace(err)
	}
	c.back.Send(&pgproto3.AuthenticationSASLContinue{Data: []byte(answer)})
	if err := c.ask(pgproto3.AuthTypeSASLContinue); err != nil {
		return err
	}
	if m, err = c.back.Receive(); err != nil {
		return errors.Trace(err)
	}
	last, ok := m.(*pgproto3.SASLResponse)
	if !ok {
		return errors.New("no SASL response")
	}
	answer, err = talk.Step(string(last.Data))
	if err != nil || !talk.Valid() {
		return errors.New("wrong password")
	}
	c.back.Send(&pgproto3.AuthenticationSASLFinal{Data: []byte(answer)})
	return nil
}

func (c *conn) ask(auth uint32) error {
	if err := c.back.SetAuthType(auth); err != nil {
		return errors.Trace(err)
	}
	return c.flush()
}

// conversation starts the server's side of SCRAM.
func (s *Server) conversation() (*scram.ServerConversation, error) {
	salt := make([]byte, 16)
	if _, err := rand.Read(salt); err != nil {
		return nil, errors.Trace(err)
	}
	client, err := scram.SHA256.NewClient("", s.options.Password, "")
	if err != nil {
		return nil, errors.Trace(err)
	}
	known, err := client.GetStoredCredentialsWithError(
		scram.KeyFactors{Salt: string(salt), Iters: scramIterations})
	if err != nil {
		return nil, errors.Trace(err)
	}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		return known, nil
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return server.NewConversation(), nil
}
