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
	maxBody     = 1 << 20
	commandTime = 3 * time.Second
)

// admin is the HTTP interface for upstreams, operators and the platform.
type admin struct {
	feed    func(node.Input)
	metrics http.Handler
	// ask carries out an operator's command, here or at the leader.
	ask func(node.Command) (node.Reply, bool)
	// askOnly carries out a command that was passed on already; it is nil at
	// entries.
	askOnly func(node.Command) node.Reply
	ready   func() bool
	// tokenKey verifies the tokens that operators ask about.
	tokenKey []byte
}

func (a *admin) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/announce", a.announce)
	mux.HandleFunc("POST /v1/command", a.command)
	mux.HandleFunc("POST /v1/token/inspect", a.inspect)
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

// inspect decodes a session token and verifies its signature.
func (a *admin) inspect(w http.ResponseWriter, r *http.Request) {
	var q struct {
		Token string `json:"token"`
	}
	if !decode(w, r, "question", &q) {
		return
	}
	t, err := token.Inspect(a.tokenKey, q.Token)
	if err != nil {
		http.Error(w, "token: "+err.Error(), http.StatusBadRequest)
		return
	}
	_ = json.NewEncoder(w).Encode(t)
}

// decode reads a request's JSON, or answers with what is wrong with it.
func decode(w http.ResponseWriter, r *http.Request, what string, v any) bool {
	d := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxBody))
	d.DisallowUnknownFields()
	if err := d.Decode(v); err != nil {
		http.Error(w, what+": "+err.Error(), http.StatusBadRequest)
		return false
	}
	return true
}

func (a *admin) announce(w http.ResponseWriter, r *http.Request) {
	var said catalog.Announcement
	if !decode(w, r, "announcement", &said) {
		return
	}
	if text := checkAnnouncement(said); text != "" {
		http.Error(w, "announcement: "+text, http.StatusBadRequest)
		return
	}
	a.feed(node.AnnouncementReceived{Announcement: said})
	w.WriteHeader(http.StatusNoContent)
}

func checkAnnouncement(a catalog.Announcement) string {
	switch {
	case a.Service == "":
		return "service is missing"
	case a.Instance == "":
		return "instance is missing"
	case !isAddress(a.Address):
		return "address must be an IP and a port"
	case a.Role > catalog.RoleReplica:
		return "role is unknown"
	}
	return ""
}

func (a *admin) command(w http.ResponseWriter, r *http.Request) {
	var c node.Command
	if !decode(w, r, "command", &c) {
		return
	}
	if r.Header.Get(forwarded) != "" && a.askOnly != nil {
		_ = json.NewEncoder(w).Encode(a.askOnly(c))
		return
	}
	reply, ok := a.ask(c)
	if !ok {
		w.Header().Set("Retry-After", strconv.Itoa(1))
		w.WriteHeader(http.StatusServiceUnavailable)
	}
	_ = json.NewEncoder(w).Encode(reply)
}

// asker pairs operators' commands with the reducer's answers.
type asker struct {
	feed func(node.Input)
	// timeout bounds the wait for an answer.
	timeout time.Duration
	mutex   sync.Mutex
	last    uint64
	open    map[uint64]chan node.Reply
}

func newAsker(feed func(node.Input)) *asker {
	return &asker{feed: feed, timeout: commandTime, open: map[uint64]chan node.Reply{}}
}

// ask waits for the answer to a command, within bounds.
func (a *asker) ask(c node.Command) node.Reply {
	answer := make(chan node.Reply, 1)
	a.mutex.Lock()
	a.last++
	number := a.last
	a.open[number] = answer
	a.mutex.Unlock()
	a.feed(node.OperatorAsked{Number: number, Command: c})
	select {
	case r := <-answer:
		return r
	case <-time.After(a.timeout):
		a.take(number)
		return node.Reply{Code: node.ReplyUnknown, Text: "No agreement was reached in time. Send the change again with the same change id.", RetryAfter: time.Second}
	}
}

func (a *asker) take(number uint64) chan node.Reply {
	a.mutex.Lock()
	defer a.mutex.Unlock()
	c := a.open[number]
	delete(a.open, number)
	return c
}

func (a *asker) answer(o node.OperatorAnswer) {
	if c := a.take(o.Number); c != nil {
		c <- o.Reply
	}
}
