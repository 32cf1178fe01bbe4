package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/node"
)

const (
	commandPath = "/v1/command"
	// roundPause is the time between two rounds over the addresses.
	roundPause = 200 * time.Millisecond
	// maxAnswer is the longest answer that is read, in bytes.
	maxAnswer = 64 << 20
)

// Client sends commands to the first VM that takes them. A command whose
// answer is lost goes to the next VM unchanged, with the same change id.
type Client struct {
	Addresses []string
	// Timeout bounds a command with all its repetitions.
	Timeout time.Duration
	HTTP    *http.Client
	// Sleep waits and reports whether the context is still good.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// NewClient returns a client over HTTP that uses no proxy.
func NewClient(addresses []string, timeout time.Duration) *Client {
	return &Client{
		Addresses: addresses,
		Timeout:   timeout,
		HTTP:      &http.Client{Transport: &http.Transport{DialContext: (&net.Dialer{}).DialContext}},
		Sleep:     sleep,
	}
}

func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// Do sends a command until there is a final reply or the time is over.
func (c *Client) Do(ctx context.Context, command node.Command) (node.Reply, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return node.Reply{}, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	lost := false
	for {
		n, reply, err := c.round(ctx, body)
		if n.final {
			return reply, err
		}
		lost = lost || n.lost
		if !n.reached && !lost || !c.Sleep(ctx, max(roundPause, n.retryAfter)) {
			return node.Reply{}, c.giveUp(command, lost, n.why)
		}
	}
}

// tally is what the attempts of a round came to.
type tally struct {
	// final is set if the round brought the reply or an error to end with.
	final bool
	// reached is set if some VM took the command, lost if the command may
	// have been carried out without an answer.
	reached, lost bool
	retryAfter    time.Duration
	// why is the last thing that went wrong.
	why string
}

// round tries all addresses once.
func (c *Client) round(ctx context.Context, body []byte) (tally, node.Reply, error) {
	var t tally
	for _, a := range c.Addresses {
		x := c.post(ctx, a, commandPath, body)
		if x.result != notSent {
			t.reached = true
		}
		switch x.result {
		case answered:
			reply, final, err := decode(a, x)
			if final {
				return tally{final: true}, reply, err
			}
			t.lost = t.lost || reply.Code == node.ReplyUnknown
			t.retryAfter = max(t.retryAfter, reply.RetryAfter)
			t.why = fmt.Sprintf("%s: %s", a, orText(reply.Text, string(reply.Code)))
		case unavailable:
			t.retryAfter = max(t.retryAfter, x.retryAfter)
			t.why = a + ": no control leader"
		case lostAnswer:
			t.lost = true
			t.why = fmt.Sprintf("%s: %s", a, x.err)
		case notSent:
			t.why = fmt.Sprintf("%s: %s", a, x.err)
		}
	}
	return t, node.Reply{}, nil
}

// decode reads an answer; it is not final if another try may bring a better.
func decode(address string, x exchange) (node.Reply, bool, error) {
	var r node.Reply
	if x.status != http.StatusOK {
		return r, true, &Failure{
			Exit: ExitFailed,
			Text: fmt.Sprintf("%s answered %d: %s", address, x.status, firstLine(x.body)),
			Next: "check that this is the admin address of a VM that runs the same version",
		}
	}
	if err := json.Unmarshal(x.body, &r); err != nil || r.Code == "" {
		return r, true, &Failure{
			Exit: ExitFailed,
			Text: address + " sent an answer that is not a reply",
			Next: "check that this is the admin address of a VM that runs the same version",
		}
	}
	return r, r.Code != node.ReplyNotLeader && r.Code != node.ReplyUnknown, nil
}

func (c *Client) giveUp(command node.Command, lost bool, why string) error {
	if lost && changes(command) {
		return unknown(command.Change, why)
	}
	return &Failure{
		Exit: ExitUnreachable, Text: "no VM took the command: " + why, ChangeID: command.Change,
		Next: "check --address and that the VMs run; nothing was changed",
	}
}
