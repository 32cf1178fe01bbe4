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
	// roundDelay is the time between two rounds over the addresses.
	roundDelay = 200 * time.Millisecond
	// maxAnswerBytes is the longest answer that is read, in bytes.
	maxAnswerBytes = 64 << 20
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
		n, reply, err := c.tryAll(ctx, body)
		if n.final {
			return reply, err
		}
		lost = lost || n.lost
		if !n.reached && !lost || !c.Sleep(ctx, max(roundDelay, n.retryAfter)) {
			return node.Reply{}, c.giveUpError(command, lost, n.lastProblem)
		}
	}
}

// roundResult is what the attempts of a round came to.
type roundResult struct {
	// final is set if the round brought the reply or an error to end with.
	final bool
	// reached is set if some VM took the command, lost if the command may
	// have been carried out without an answer.
	reached, lost bool
	retryAfter    time.Duration
	// lastProblem is the last thing that went wrong.
	lastProblem string
}

// tryAll tries all addresses once.
func (c *Client) tryAll(ctx context.Context, body []byte) (roundResult, node.Reply, error) {
	var t roundResult
	for _, a := range c.Addresses {
		x := c.post(ctx, a, commandPath, body)
		if x.result != notSent {
			t.reached = true
		}
		switch x.result {
		case answered:
			reply, final, err := decodeReply(a, x)
			if final {
				return roundResult{final: true}, reply, err
			}
			t.lost = t.lost || reply.Code == node.ReplyUnknown
			t.retryAfter = max(t.retryAfter, reply.RetryAfter)
			t.lastProblem = fmt.Sprintf("%s: %s", a, textOr(reply.Text, string(reply.Code)))
		case unavailable:
			t.retryAfter = max(t.retryAfter, x.retryAfter)
			t.lastProblem = a + ": no control leader"
		case lostAnswer:
			t.lost = true
			t.lastProblem = fmt.Sprintf("%s: %s", a, x.err)
		case notSent:
			t.lastProblem = fmt.Sprintf("%s: %s", a, x.err)
		}
	}
	return t, node.Reply{}, nil
}

// decodeReply reads an answer; it is not final if another try may bring a better.
func decodeReply(address string, x exchange) (node.Reply, bool, error) {
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

func (c *Client) giveUpError(command node.Command, lost bool, lastProblem string) error {
	if lost && isChange(command) {
		return unknownOutcome(command.Change, lastProblem)
	}
	return &Failure{
		Exit: ExitUnreachable, Text: "no VM took the command: " + lastProblem, ChangeID: command.Change,
		Next: "check --address and that the VMs run; nothing was changed",
	}
}
