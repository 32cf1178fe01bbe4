package daemon

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/platform"
)

// A hosted control VM must answer queries, and must refuse commands that change
// something, since only the platform may change a hosted system.
func TestHostedQueries(t *testing.T) {
	post := func(body string) (int, node.Reply) {
		h := &hosted{settings: &platform.Settings{VM: "10.0.0.1", MetricsPort: 7441}}
		var commands *commandDispatcher
		commands = newCommandDispatcher(func(in node.Input) {
			number := in.(node.CommandReceived).Number
			go commands.deliver(node.AnswerCommand{Number: number, Reply: node.Reply{Code: node.ReplyOK, Version: 7, Status: &node.Status{Leader: "10.0.0.1"}}})
		})
		w := httptest.NewRecorder()
		h.queryHandler(commands).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/command", strings.NewReader(body)))
		var r node.Reply
		_ = json.Unmarshal(w.Body.Bytes(), &r)
		return w.Code, r
	}
	Convey("a control VM of the platform answers queries", t, func() {
		code, r := post(`{"status":{}}`)
		So(code, ShouldEqual, http.StatusOK)
		So(r.Status.Leader, ShouldEqual, catalog.VMID("10.0.0.1"))
	})
	Convey("a control VM of the platform refuses changes", t, func() {
		for _, body := range []string{
			`{"change-id":"x","drain":{"instance":"a"}}`, `{"switch":{"service":"orders"}}`, `{}`, `{"status":{},"retire":{"instance":"a"}}`,
		} {
			code, _ := post(body)
			So(code, ShouldEqual, http.StatusForbidden)
		}
	})
	Convey("a query that can't be decoded is refused", t, func() {
		code, _ := post(`{"status":`)
		So(code, ShouldEqual, http.StatusBadRequest)
	})
}

// An entry must answer explain, and must refuse all other commands: its reducer
// has no state to answer queries about the system, and may not change it.
func TestEntryQueries(t *testing.T) {
	entry := node.NewEntry(node.EntryOptions{VM: "10.0.0.9", Site: "s1", Timings: catalog.DefaultTimings(), UpstreamsFromControl: true})
	entry.Step(node.Event{Now: catalog.Instant(1), Input: node.TimerFired{}})
	post := func(body string) (int, node.Reply) {
		var commands *commandDispatcher
		commands = newCommandDispatcher(func(in node.Input) {
			for _, x := range entry.Step(node.Event{Now: catalog.Instant(2), Input: in}) {
				commands.deliver(x.(node.AnswerCommand))
			}
		})
		w := httptest.NewRecorder()
		explainHandler(commands).ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/command", strings.NewReader(body)))
		var r node.Reply
		_ = json.Unmarshal(w.Body.Bytes(), &r)
		return w.Code, r
	}
	Convey("an entry explains a request", t, func() {
		code, r := post(`{"explain":{"database":"shop","kind":"read"}}`)
		So(code, ShouldEqual, http.StatusOK)
		So(r.Code, ShouldEqual, node.ReplyOK)
		So(r.Explanation.Entry.VM, ShouldEqual, catalog.VMID("10.0.0.9"))
		So(r.Explanation.Choice.Verdict, ShouldEqual, node.ExplainRefuse)
	})
	Convey("an entry refuses a kind of request that does not exist", t, func() {
		_, r := post(`{"explain":{"database":"shop","kind":"scan"}}`)
		So(r.Code, ShouldEqual, node.ReplyInvalid)
	})
	Convey("an entry refuses all other commands", t, func() {
		for _, body := range []string{`{"status":{}}`, `{"explain":{},"drain":{"instance":"a"}}`, `{}`} {
			code, _ := post(body)
			So(code, ShouldEqual, http.StatusForbidden)
		}
	})
}

// TestRepliesWithoutDocument guards against keys of organisations in replies to
// operators: the document contains them, and control sends it with the services
// and routes.
func TestRepliesWithoutDocument(t *testing.T) {
	Convey("the document is sent only if it is asked for", t, func() {
		reply := node.Reply{Code: node.ReplyOK, Version: 7, Document: []byte("secret")}
		var commands *commandDispatcher
		commands = newCommandDispatcher(func(in node.Input) {
			go commands.deliver(node.AnswerCommand{Number: in.(node.CommandReceived).Number, Reply: reply})
		})
		h := &hosted{settings: &platform.Settings{VM: "10.0.0.1", MetricsPort: 7441}}
		embedded := &admin{
			execute:        func(c node.Command) (node.Reply, bool) { return commands.execute(c), true },
			executeLocally: commands.execute,
		}
		handlers := []http.Handler{h.queryHandler(commands), http.HandlerFunc(embedded.command)}
		for n, forwarded := range []string{"", "10.0.0.2", "", "10.0.0.2"} {
			post := func(body string) node.Reply {
				w := httptest.NewRecorder()
				q := httptest.NewRequest(http.MethodPost, "/v1/command", strings.NewReader(body))
				q.Header.Set(forwardedHeader, forwarded)
				handlers[n/2].ServeHTTP(w, q)
				var r node.Reply
				So(json.Unmarshal(w.Body.Bytes(), &r), ShouldBeNil)
				So(r.Version, ShouldEqual, catalog.Version(7))
				return r
			}
			for _, body := range []string{`{"settings":{}}`, `{"status":{}}`, `{"history":{"limit":1}}`, `{"organisations":{}}`} {
				So(post(body).Document, ShouldBeNil)
			}
			So(post(`{"settings":{"document":true}}`).Document, ShouldResemble, reply.Document)
		}
	})
}
