package capacity

import (
	"bytes"
	"encoding/json"
	"os"
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"

	"github.com/kingcupknot/kingcupknot/node"
)

func TestFitLine(t *testing.T) {
	Convey("the fit of collinear points is the line through them", t, func() {
		l := FitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
		So(l.Slope, ShouldAlmostEqual, 2)
		So(l.Intercept, ShouldAlmostEqual, 3)
		So(l.RSquared, ShouldAlmostEqual, 1)
		So(l.At(10), ShouldAlmostEqual, 23)
	})
	Convey("the fit of other points minimizes the squared errors", t, func() {
		l := FitLine([]Point{{0, 0}, {1, 2}, {2, 1}})
		So(l.Slope, ShouldAlmostEqual, 0.5)
		So(l.Intercept, ShouldAlmostEqual, 0.5)
		So(l.RSquared, ShouldAlmostEqual, 0.25)
	})
	Convey("one point gives a flat line", t, func() {
		So(FitLine([]Point{{3, 4}}), ShouldResemble, Line{Intercept: 4})
		So(FitLine(nil), ShouldResemble, Line{})
	})
}

func smallLoad() entryLoad {
	return entryLoad{
		Services: 3, Instances: 3, Peers: 2, RequestsPerSecond: 50, OpenTransactions: 2,
		WarmUp: time.Second, MeasuredTime: time.Second,
	}
}

// TestEntrySimIsDeterministic guards against nondeterminism in the simulation or
// the reducer. Either would make the measured costs differ between runs, and
// between the recorded events and their replay.
func TestEntrySimIsDeterministic(t *testing.T) {
	Convey("the same load gives the same events and traffic", t, func() {
		a, err := simulateEntry(smallLoad())
		So(err, ShouldBeNil)
		b, err := simulateEntry(smallLoad())
		So(err, ShouldBeNil)
		So(a.traffic, ShouldResemble, b.traffic)
		So(a.traffic.refusedRequests, ShouldEqual, 0)
		So(a.traffic.doneRequests, ShouldBeBetween, 40, 60)
		So(a.events, ShouldResemble, b.events)
	})
	Convey("a replay of the recording takes the same decisions", t, func() {
		r, err := simulateEntry(smallLoad())
		So(err, ShouldBeNil)
		second, other := newEntry(smallLoad()), newEntry(smallLoad())
		same := true
		for _, v := range r.events {
			same = same && reflect.DeepEqual(second.Step(v), other.Step(v))
		}
		So(same, ShouldBeTrue)
	})
}

// TestControlSimIsDeterministic guards against nondeterminism in the simulation of
// a failover, which would make its measured messages differ between runs.
func TestControlSimIsDeterministic(t *testing.T) {
	Convey("the same load gives the same messages in a failover", t, func() {
		var sent [2][]node.SendMessage
		for i := range sent {
			r, err := newControlSim(controlLoad{Entries: 4, Services: 3, Instances: 3})
			So(err, ShouldBeNil)
			r.announceAll(2)
			for n := range r.load.Entries {
				r.sendReport(n)
			}
			r.clearMessages()
			r.runFailover()
			So(r.promotions, ShouldEqual, 1)
			sent[i] = r.messages
		}
		So(sent[0], ShouldResemble, sent[1])
	})
}

// TestAgreementSimIsDeterministic guards against nondeterminism in the simulation
// of a quorum group, and against records that the group does not commit. Either
// would make the measured bytes per record wrong.
func TestAgreementSimIsDeterministic(t *testing.T) {
	Convey("the same records give the same bytes, and all are committed", t, func() {
		var runs [2]*agreementSim
		for i := range runs {
			runs[i] = newAgreementSim(groupSize)
			runs[i].advance(groupWarmUp)
			runs[i].committed = 0
			So(runs[i].propose(20), ShouldBeNil)
			So(runs[i].committed, ShouldEqual, 20)
		}
		So(runs[0].bytes, ShouldEqual, runs[1].bytes)
		So(runs[0].logBytes, ShouldEqual, runs[1].logBytes)
	})
}

// TestFiguresFollowFromRows guards against a change of the formulas without a new
// report: the figures of the committed report would no longer follow from its rows.
func TestFiguresFollowFromRows(t *testing.T) {
	Convey("the figures of the committed report follow from its rows", t, func() {
		data, err := os.ReadFile("../docs/measurements/slopes.json")
		So(err, ShouldBeNil)
		var reported Report
		So(json.Unmarshal(data, &reported), ShouldBeNil)
		derived, err := ReadReport(bytes.NewReader(data))
		So(err, ShouldBeNil)
		So(derived.Figures, ShouldNotBeEmpty)
		So(derived.Figures, ShouldResemble, reported.Figures)
		for _, r := range reported.Rows {
			So(len(r.Points), ShouldBeGreaterThanOrEqualTo, 3)
			So(r.Line, ShouldResemble, FitLine(r.Points))
		}
	})
	Convey("a report that lacks rows is refused", t, func() {
		_, err := DeriveFigures(nil, DesignSize())
		So(err, ShouldNotBeNil)
	})
}
