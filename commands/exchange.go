package commands

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// result is the outcome of one HTTP exchange.
type result uint8

const (
	// notSent means that no connection was established. The command was not
	// executed.
	notSent result = iota
	// unavailable means that the VM has no control leader to forward to. The
	// command was not executed.
	unavailable
	// lostAnswer means that the connection failed after it was established, or
	// that the VM answered with a 5xx status other than 503. The command may
	// have been executed.
	lostAnswer
	// answered means that a response with any other status arrived.
	answered
)

// exchange is the outcome of one HTTP request and its response.
type exchange struct {
	result     result
	status     int
	body       []byte
	retryAfter time.Duration
	err        error
}

// post sends one HTTP request. The request's timeout is only a share of
// Client.Timeout, so that time remains for the other addresses.
func (c *Client) post(ctx context.Context, address, path string, body []byte) exchange {
	ctx, cancel := context.WithTimeout(ctx, c.Timeout/time.Duration(len(c.Addresses)+1))
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, bytes.NewReader(body))
	if err != nil {
		return exchange{result: notSent, err: err}
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.HTTP.Do(request)
	if err != nil {
		var op *net.OpError
		if errors.As(err, &op) && op.Op == "dial" {
			return exchange{result: notSent, err: err}
		}
		return exchange{result: lostAnswer, err: err}
	}
	defer response.Body.Close()
	text, err := io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes))
	if err != nil {
		return exchange{result: lostAnswer, err: err}
	}
	x := exchange{result: answered, status: response.StatusCode, body: text}
	switch {
	case response.StatusCode == http.StatusServiceUnavailable:
		x.result, x.retryAfter = unavailable, retryAfter(response.Header)
	case response.StatusCode >= http.StatusInternalServerError:
		x.result = lostAnswer
		x.err = errors.Errorf("answered %d: %s", response.StatusCode, firstLine(text))
	}
	return x
}

func retryAfter(h http.Header) time.Duration {
	s, err := strconv.Atoi(h.Get("Retry-After"))
	if err != nil || s < 0 {
		return 0
	}
	return time.Duration(s) * time.Second
}

func firstLine(text []byte) string {
	line, _, _ := strings.Cut(strings.TrimSpace(string(text)), "\n")
	return line
}

// reason returns a description of why no answer arrived. An exchange without an
// error is one whose VM was unavailable.
func (x exchange) reason() string {
	if x.err == nil {
		return "not available for now"
	}
	return x.err.Error()
}
