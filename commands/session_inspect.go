package commands

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sort"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"
)

const inspectPath = "/v1/token/inspect"

func init() {
	register("session inspect", "Decode a session token and verify its signature", func(cli *CLI) flags.Commander {
		return &sessionInspect{cli: cli}
	})
}

type sessionInspect struct {
	cli  *CLI
	Args struct {
		Token string `positional-arg-name:"TOKEN" required:"yes"`
	} `positional-args:"yes"`
}

// inspectRequest is the body of the HTTP request.
type inspectRequest struct {
	Token string `json:"token"`
}

// Execute sends the token to a VM, which decodes and verifies it, and prints the
// fields. Only VMs have the token key.
func (c *sessionInspect) Execute([]string) error {
	body, err := json.Marshal(inspectRequest{Token: c.Args.Token})
	if err != nil {
		return errors.Trace(err)
	}
	address, x := c.cli.client().postToFirst(inspectPath, body)
	if x.result != answered {
		return &Failure{
			Exit: ExitUnreachable, Text: "no VM answered: " + x.reason(),
			Next: "check --address and that the VMs run",
		}
	}
	switch x.status {
	case http.StatusOK:
		return c.show(x.body)
	case http.StatusBadRequest:
		return &Failure{
			Exit: ExitFailed, Text: "the token is not valid: " + firstLine(x.body),
			Next: "check that it was copied whole and comes from this system",
		}
	default:
		return &Failure{Exit: ExitFailed, Text: fmt.Sprintf("%s answered %d: %s", address, x.status, firstLine(x.body))}
	}
}

// postToFirst sends a request to one address after the other until a VM answers,
// and returns the address of that VM. If none answers, the address is empty.
func (c *Client) postToFirst(path string, body []byte) (string, exchange) {
	ctx, cancel := context.WithTimeout(context.Background(), c.Timeout)
	defer cancel()
	var x exchange
	for _, a := range c.Addresses {
		if x = c.post(ctx, a, path, body); x.result == answered {
			return a, x
		}
	}
	return "", x
}

func (c *sessionInspect) show(body []byte) error {
	var fields map[string]any
	if err := json.Unmarshal(body, &fields); err != nil {
		return &Failure{Exit: ExitFailed, Text: "the answer is not JSON: " + err.Error()}
	}
	if c.cli.Options.JSON {
		c.cli.printJSON(fields)
		return nil
	}
	keys := make([]string, 0, len(fields))
	for k := range fields {
		keys = append(keys, k)
	}
	sort.Strings(keys)
	t := newTable(c.cli.Stdout, "FIELD", "VALUE")
	for _, k := range keys {
		text, err := json.Marshal(fields[k])
		if err != nil {
			return errors.Trace(err)
		}
		t.addRow(k, string(text))
	}
	t.flush()
	return nil
}
