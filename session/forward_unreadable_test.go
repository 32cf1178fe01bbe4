package session

import (
	"testing"

	"github.com/juju/errors"
	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// A forwarded request that can't be decoded, or whose reply is too large, got no reply.
// The caller's entry then reported a write in doubt at its deadline.
func TestForwardsThatCannotBeExchanged(t *testing.T) {
	serve := func(requests []ForwardedRequest, limit int, runs ...string) []ForwardReply {
		g := newHarness(t)
		for _, text := range runs {
			g.expected = append(g.expected, expectedCommand{text: text, reply: Reply{Body: []byte("row"), State: StateTransaction}})
		}
		g.setRoute(catalog.ReadsOwnWrites)
		var replies []ForwardReply
		g.server.ServeForwarded("a", func() (ForwardedRequest, error) {
			if len(requests) == 0 {
				return ForwardedRequest{}, errors.Trace(ErrUnreadable)
			}
			next := requests[0]
			requests = requests[1:]
			return next, nil
		}, func(r ForwardReply) error {
			if len(r.Body) > limit {
				return errors.Trace(ErrTooLarge)
			}
			replies = append(replies, r)
			return nil
		})
		return replies
	}
	read := ForwardedRequest{ID: "r1", Verb: VerbRead, Text: "read 7", Service: "orders", Database: "shop", Remaining: 1000}
	begin := ForwardedRequest{ID: "b1", Verb: VerbBegin, Kind: node.KindBegin, Service: "orders", Database: "shop", Remaining: 1000}
	Convey("a request that can't be read is declined", t, func() {
		So(serve(nil, 100), ShouldResemble, []ForwardReply{{Declined: true}})
	})
	Convey("a statement of a transaction that can't be read ends it, as not run", t, func() {
		replies := serve([]ForwardedRequest{begin}, 100, "- begin", "b1 ", "- rollback")
		So(replies, ShouldHaveLength, 2)
		So(replies[0].HoldsTransaction, ShouldBeTrue)
		So(replies[1].Verdict, ShouldEqual, node.VerdictNotRun)
		So(replies[1].HoldsTransaction, ShouldBeFalse)
	})
	Convey("a reply that can't be sent is replaced by one that promises nothing", t, func() {
		replies := serve([]ForwardedRequest{read}, 0, "r1 read 7")
		So(replies, ShouldHaveLength, 1)
		So(replies[0].Verdict, ShouldEqual, node.VerdictUnknown)
		So(replies[0].Reason, ShouldEqual, ErrTooLarge.Error())
	})
}
