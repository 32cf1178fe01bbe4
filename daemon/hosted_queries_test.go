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
