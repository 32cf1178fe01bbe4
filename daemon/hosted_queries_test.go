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
