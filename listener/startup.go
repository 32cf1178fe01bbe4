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
	// startupTimeout bounds the time from connecting to the end of
	// authentication.
	startupTimeout = 10 * time.Second
	// cancelKeySize is the length of the key for cancel requests, in bytes.
	cancelKeySize = 4
	// maxStartupMessage bounds a message of a caller that is not authenticated
	// yet, in bytes.
	maxStartupMessage = 4 << 10
	// serverVersion is the server version reported to callers.
	serverVersion = "15.0"
)

// noEncryption is the reply to requests for TLS or GSS encryption, which are
// refused.
var noEncryption = []byte{'N'}

// serveConn handles a new network connection until it is closed.
func (s *Server) serveConn(conn net.Conn) {
	defer s.openConns.Add(-1)
	defer conn.Close()
	_ = conn.SetDeadline(time.Now().Add(startupTimeout))
	c := newCaller(s, conn)
	c.backend.SetMaxBodyLen(maxStartupMessage)
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
			s.serveCaller(c, m)
			return
		default:
			return
		}
	}
}

// serveCaller authenticates and admits a caller and serves it until it
// disconnects.
func (s *Server) serveCaller(c *caller, m *pgproto3.StartupMessage) {
	if m.ProtocolVersion != pgproto3.ProtocolVersion30 {
		c.out.add(&pgproto3.NegotiateProtocolVersion{})
	}
	if f := c.identify(m.Parameters); f != nil {
		c.sendFault(f)
		return
	}
	if f := s.admit(c); f != nil {
		c.sendFault(f)
		return
	}
	defer s.removeCaller(c)
	c.addStartupReply()
	if c.out.flush() != nil {
		return
	}
	_ = c.conn.SetDeadline(time.Time{})
	c.backend.SetMaxBodyLen(s.options.MaxMessage)
	go c.readMessages()
	c.serve()
}

// identify authenticates the caller and applies its startup parameters.
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
			return &fault{Code: codeNotSupported, Text: advice, Fatal: true}
		}
		if f := c.assign(h.Name, h.Value); f != nil {
			f.Fatal = true
			return f
		}
	}
	return nil
}

// admit registers the caller and assigns the process id and the key for its
// cancel requests. It refuses the caller if the entry is stopping or has too many
// callers.
func (s *Server) admit(c *caller) *fault {
	c.cancelKey = make([]byte, cancelKeySize)
	if _, err := rand.Read(c.cancelKey); err != nil {
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

// removeCaller unregisters a caller that admit has registered.
func (s *Server) removeCaller(c *caller) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.callers, c.pid)
}

// addStartupReply adds the messages with which a PostgreSQL server accepts a
// connection.
func (c *caller) addStartupReply() {
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
	c.out.add(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.cancelKey})
	c.out.add(&pgproto3.ReadyForQuery{TxStatus: statusIdle})
}

// cancel cancels the current request of the caller with the process id, if the
// key matches.
func (s *Server) cancel(pid uint32, secret []byte) {
	s.mu.Lock()
	c, ok := s.callers[pid]
	s.mu.Unlock()
	if ok && subtle.ConstantTimeCompare(c.cancelKey, secret) == 1 {
		c.cancel()
	}
}
