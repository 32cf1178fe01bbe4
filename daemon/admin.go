package daemon

import (
	"encoding/json"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/token"
)

const (
	maxBodyBytes = 1 << 20
	// commandTimeout bounds the wait for the outcome of a command.
	commandTimeout = 3 * time.Second
)

// admin is the HTTP API for upstreams, operators, health checks and metrics.
type admin struct {
	feed    func(node.Input)
	metrics http.Handler
	// execute runs an operator's command here or forwards it to the control
	// leader. It returns false if no leader answered.
	execute func(node.Command) (node.Reply, bool)
	// executeLocally runs a command that another VM has forwarded, without
	// forwarding it again. It is nil at entries.
	executeLocally func(node.Command) node.Reply
	// ready is the result of the readiness check.
	ready func() bool
	// tokenKey verifies the session tokens that operators inspect.
	tokenKey []byte
}

func (a *admin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", a.announce)
	mux.HandleFunc("POST /v1/command", a.command)
	mux.HandleFunc("POST /v1/token/inspect", a.inspectToken)
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) })
	mux.HandleFunc("GET /ready", a.readiness)
	mux.Handle("GET /metrics", a.metrics)
	return mux
}

func (a *admin) readiness(w http.ResponseWriter, _ *http.Request) {
	if !a.ready() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	w.WriteHeader(http.StatusOK)
}

// inspectToken decodes a session token and verifies its signature.
func (a *admin) inspectToken(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Token string `json:"token"`
	}
	if !decodeJSON(w, r, "question", &q) {
		return
	}
	t, err := token.Inspect(a.tokenKey, q.Token)
	if err != nil {
		http.Error(w, "token: "+err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(t)
}

// decodeJSON decodes the JSON body of a request into v. If the body is invalid,
// it sends an error response that names the kind of the body, and returns
// false.
func decodeJSON(w http.ResponseWriter, r *http.Request, kind string, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, kind+": "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (a *admin) announce(w http.ResponseWriter, r *http.Request) {
	var announcement catalog.Announcement
	if !decodeJSON(w, r, "announcement", &announcement) {
		return
	}
	err := announcement.Check()
	if err == nil {
		err = catalog.CheckAddress(announcement.Address)
	}
	if err != nil {
		http.Error(w, "announcement: "+err.Error(), http.StatusBadRequest)
		return
	}
	a.feed(node.AnnouncementReceived{Announcement: announcement})
	w.WriteHeader(http.StatusNoContent)
}

func (a *admin) command(w http.ResponseWriter, r *http.Request) {
	var c node.Command
	if !decodeJSON(w, r, "command", &c) {
		return
	}
	if r.Header.Get(forwardedHeader) != "" && a.executeLocally != nil {
		_ = json.NewEncoder(w).Encode(c.FilterReply(a.executeLocally(c)))
		return
	}
	reply, ok := a.execute(c)
	if !ok {
		w.Header().Set("Retry-After", strconv.Itoa(1))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(c.FilterReply(reply))
}

// commandDispatcher passes operators' commands to the reducer. It numbers the
// commands and matches the reducer's answers to them by these numbers.
type commandDispatcher struct {
	feed func(node.Input)
	// timeout bounds the wait for the reducer's answer.
	timeout    time.Duration
	mutex      sync.Mutex
	lastNumber uint64
	pending    map[uint64]chan node.Reply
}

func newCommandDispatcher(feed func(node.Input)) *commandDispatcher {
	return &commandDispatcher{feed: feed, timeout: commandTimeout, pending: map[uint64]chan node.Reply{}}
}

// execute passes a command to the reducer and waits for the answer. After the
// timeout, it replies that the outcome is unknown.
func (a *commandDispatcher) execute(c node.Command) node.Reply {
	reply := make(chan node.Reply, 1)
	a.mutex.Lock()
	a.lastNumber++
	number := a.lastNumber
	a.pending[number] = reply
	a.mutex.Unlock()
	a.feed(node.CommandReceived{Number: number, Command: c})
	select {
	case r := <-reply:
		return r
	case <-time.After(a.timeout):
		a.removePending(number)
		return node.Reply{Code: node.ReplyUnknown, Text: "No agreement was reached in time. Send the change again with the same change id.", RetryAfter: time.Second}
	}
}

func (a *commandDispatcher) removePending(number uint64) chan node.Reply {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	c := a.pending[number]
	delete(a.pending, number)
	return c
}

func (a *commandDispatcher) deliver(o node.AnswerCommand) {
	if c := a.removePending(o.Number); c != nil {
		c <- o.Reply
	}
}
