package listener

import (
	"crypto/rand"
	"crypto/subtle"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/statement"
)

const (
	// startupTimeout bounds the time until a caller has shown who it is.
	startupTimeout = 10 * time.Second
	// secretSize is the length of the key for cancel requests, in bytes.
	secretSize = 4
	// maxPassword bounds a message of a caller that is not known yet, in
	// bytes.
	maxPassword = 4 << 10
	// serverVersion is what callers are told of the upstreams' version.
	serverVersion = "15.0"
)

// refusal of TLS and GSS encryption.
var noEncryption = []byte{'N'}

// meet serves one network connection from its first byte.
func (s *Server) meet(conn net.Conn) {
	defer s.open.Add(-1)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(startupTimeout))
	c := newCaller(s, conn)
	c.backend.SetMaxBodyLen(maxPassword)
	for {
		m, err := c.backend.ReceiveStartupMessage()
		if err != nil {
			return
		}
		switch m := m.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := conn.Write(noEncryption); err != nil {
				return
			}
		case *pgproto3.CancelRequest:
			s.cancel(m.ProcessID, m.SecretKey)
			return
		case *pgproto3.StartupMessage:
			s.welcome(c, m)
			return
		default:
			return
		}
	}
}

// welcome lets the caller in and serves it to its end.
func (s *Server) welcome(c *caller, m *pgproto3.StartupMessage) {
	if m.ProtocolVersion != pgproto3.ProtocolVersion30 {
		c.out.add(&pgproto3.NegotiateProtocolVersion{})
	}
	if f := c.identify(m.Parameters); f != nil {
		c.say(f)
		return
	}
	if f := s.admit(c); f != nil {
		c.say(f)
		return
	}
	defer s.dismiss(c)
	c.greet()
	if c.out.flush() != nil {
		return
	}
	_ = c.net.SetDeadline(time.Time{})
	c.backend.SetMaxBodyLen(s.options.MaxMessage)
	go c.read()
	c.serve()
}

// identify reads the startup parameters and authenticates the caller.
func (c *caller) identify(parameters map[string]string) *fault {
	user := parameters["user"]
	database := parameters["database"]
	if database == "" {
		database = user
	}
	c.service = catalog.ServiceID(database)
	if f := c.authenticate(user); f != nil {
		return f
	}
	for _, h := range startupSettings(parameters) {
		ok, advice := statement.CanSet(h.Name, h.Value)
		if !ok {
			return &fault{Code: codeFeature, Text: advice, Fatal: true}
		}
		if f := c.assign(h.Name, h.Value); f != nil {
			f.Fatal = true
			return f
		}
	}
	return nil
}

// admit gives the caller the number and key for its cancel requests.
func (s *Server) admit(c *caller) *fault {
	c.secret = make([]byte, secretSize)
	if _, err := rand.Read(c.secret); err != nil {
		return &fault{Code: codeNotRun, Text: "no random numbers: " + err.Error(), Fatal: true}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.drained || s.closed {
		return &fault{Code: codeNotRun, Text: "not run: this entry is stopping; connect again", Fatal: true}
	}
	if len(s.callers) >= s.options.MaxCallers {
		return &fault{Code: codeTooManyCallers, Text: "this entry has too many callers; connect again later", Fatal: true}
	}
	for {
		s.lastPID++
		if _, used := s.callers[s.lastPID]; !used && s.lastPID != 0 {
			break
		}
	}
	c.pid = s.lastPID
	s.callers[c.pid] = c
	return nil
}

func (s *Server) dismiss(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c.pid)
}

// greet tells the caller what a PostgreSQL server tells at the start.
func (c *caller) greet() {
	c.out.add(&pgproto3.AuthenticationOk{})
	for _, p := range []pgproto3.ParameterStatus{
		{Name: "server_version", Value: serverVersion},
		{Name: "server_encoding", Value: "UTF8"},
		{Name: "client_encoding", Value: "UTF8"},
		{Name: "DateStyle", Value: "ISO, MDY"},
		{Name: "TimeZone", Value: "UTC"},
		{Name: "IntervalStyle", Value: "postgres"},
		{Name: "integer_datetimes", Value: "on"},
		{Name: "standard_conforming_strings", Value: "on"},
		{Name: "application_name", Value: c.parameters["application_name"]},
	} {
		c.out.add(&p)
	}
	c.out.add(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.out.add(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
}

// cancel carries a cancel request to what the caller with that key runs now.
func (s *Server) cancel(pid uint32, secret []byte) {
	s.mu.Lock()
	c, ok := s.callers[pid]
	s.mu.Unlock()
	if ok && subtle.ConstantTimeCompare(c.secret, secret) == 1 {
		c.cancel()
	}
}
