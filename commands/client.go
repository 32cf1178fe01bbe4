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
	// roundDelay is the minimum delay between two rounds over the addresses.
	roundDelay = 200 * time.Millisecond
	// maxAnswerBytes limits how much of a response body is read.
	maxAnswerBytes = 64 << 20
)

// Client sends commands to the admin addresses of VMs, one after the other,
// until one VM returns a final reply. If a response is lost, the client resends
// the same command with the same change id to the next VM.
type Client struct {
	Addresses []string
	// Timeout limits the duration of a command with all its retries.
	Timeout time.Duration
	HTTP    *http.Client
	// Sleep pauses for d and returns false if ctx ends first.
	Sleep func(ctx context.Context, d time.Duration) bool
}

// NewClient returns a client that sends commands over HTTP without a proxy.
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

// Do sends a command and retries until it gets a final reply or the timeout
// expires. All errors other than encoding errors are a *Failure.
func (c *Client) Do(ctx context.Context, command node.Command) (node.Reply, error) {
	body, err := json.Marshal(command)
	if err != nil {
		return node.Reply{}, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(ctx, c.Timeout)
	defer cancel()
	lost := false
	for {
		round, reply, err := c.tryAll(ctx, body)
		if round.final {
			return reply, err
		}
		lost = lost || round.lost
		if !round.reached && !lost || !c.Sleep(ctx, max(roundDelay, round.retryAfter)) {
			return node.Reply{}, c.giveUpError(command, lost, round.lastProblem)
		}
	}
}

// roundResult is the result of one round over all addresses.
type roundResult struct {
	// final is true if the round returned a final reply or error.
	final bool
	// reached is true if at least one VM accepted a connection. lost is true if
	// the command may have been executed although no reply arrived.
	reached, lost bool
	// retryAfter is the longest delay that a VM asked for, zero if none did.
	retryAfter time.Duration
	// lastProblem describes the last failed attempt.
	lastProblem string
}

// tryAll sends the command to each address once, until a reply is final.
func (c *Client) tryAll(ctx context.Context, body []byte) (roundResult, node.Reply, error) {
	var round roundResult
	for _, a := range c.Addresses {
		x := c.post(ctx, a, commandPath, body)
		if x.result != notSent {
			round.reached = true
		}
		switch x.result {
		case answered:
			reply, final, err := decodeReply(a, x)
			if final {
				return roundResult{final: true}, reply, err
			}
			round.lost = round.lost || reply.Code == node.ReplyUnknown
			round.retryAfter = max(round.retryAfter, reply.RetryAfter)
			round.lastProblem = fmt.Sprintf("%s: %s", a, textOr(reply.Text, string(reply.Code)))
		case unavailable:
			round.retryAfter = max(round.retryAfter, x.retryAfter)
			round.lastProblem = a + ": no control leader"
		case lostAnswer:
			round.lost = true
			round.lastProblem = fmt.Sprintf("%s: %s", a, x.err)
		case notSent:
			round.lastProblem = fmt.Sprintf("%s: %s", a, x.err)
		}
	}
	return round, node.Reply{}, nil
}

// decodeReply decodes a response. The second result is false if a retry may
// return another reply.
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
