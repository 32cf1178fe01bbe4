package listener

import (
	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/juju/errors"
	"github.com/xdg-go/scram"
)

// mechanism is the SASL mechanism that is offered to callers.
const mechanism = "SCRAM-SHA-256"

// authenticate verifies the caller's password, unless the server has no
// verifiers.
func (c *caller) authenticate(user string) *fault {
	verifiers := c.server.options.Callers
	if verifiers == nil {
		return nil
	}
	rejection := &fault{Code: codeInvalidPassword, Text: "password authentication failed for user " + user, Fatal: true}
	server, err := scram.SHA256.NewServer(func(string) (scram.StoredCredentials, error) {
		// As in PostgreSQL, the user name is that of the startup message. The
		// name in the SASL message is ignored.
		v, ok := verifiers[user]
		if !ok {
			return scram.StoredCredentials{}, errors.NotFoundf("user")
		}
		return v, nil
	})
	if err != nil {
		return rejection
	}
	conversation := server.NewConversation()
	if c.exchangeSASL(conversation) != nil || !conversation.Valid() {
		return rejection
	}
	return nil
}

// exchangeSASL exchanges the messages of one SASL authentication.
func (c *caller) exchangeSASL(conversation *scram.ServerConversation) error {
	first, err := c.requestSASL(&pgproto3.AuthenticationSASL{AuthMechanisms: []string{mechanism}}, pgproto3.AuthTypeSASL)
	if err != nil {
		return err
	}
	initial, ok := first.(*pgproto3.SASLInitialResponse)
	if !ok || initial.AuthMechanism != mechanism {
		return errors.NotValidf("mechanism")
	}
	challenge, err := conversation.Step(string(initial.Data))
	if err != nil {
		return err
	}
	next, err := c.requestSASL(&pgproto3.AuthenticationSASLContinue{Data: []byte(challenge)}, pgproto3.AuthTypeSASLContinue)
	if err != nil {
		return err
	}
	response, ok := next.(*pgproto3.SASLResponse)
	if !ok {
		return errors.NotValidf("response")
	}
	final, err := conversation.Step(string(response.Data))
	if err != nil {
		return err
	}
	c.out.add(&pgproto3.AuthenticationSASLFinal{Data: []byte(final)})
	return nil
}

// requestSASL sends an authentication request and returns the caller's response.
func (c *caller) requestSASL(m pgproto3.BackendMessage, kind uint32) (pgproto3.FrontendMessage, error) {
	c.out.add(m)
	if err := c.out.flush(); err != nil {
		return nil, err
	}
	if err := c.backend.SetAuthType(kind); err != nil {
		return nil, err
	}
	return c.backend.Receive()
}
