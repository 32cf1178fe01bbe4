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
	Convey("a line through points on it is that line", t, func() {
		l := FitLine([]Point{{1, 5}, {2, 7}, {4, 11}})
		So(l.Slope, ShouldAlmostEqual, 2)
		So(l.Intercept, ShouldAlmostEqual, 3)
		So(l.Fit, ShouldAlmostEqual, 1)
		So(l.At(10), ShouldAlmostEqual, 23)
	})
	Convey("points beside a line give the least squares", t, func() {
		l := FitLine([]Point{{0, 0}, {1, 2}, {2, 1}})
		So(l.Slope, ShouldAlmostEqual, 0.5)
		So(l.Intercept, ShouldAlmostEqual, 0.5)
		So(l.Fit, ShouldAlmostEqual, 0.25)
	})
	Convey("one point gives a flat line", t, func() {
		So(FitLine([]Point{{3, 4}}), ShouldResemble, Line{Intercept: 4})
		So(FitLine(nil), ShouldResemble, Line{})
	})
}

func smallLoad() entryLoad {
	return entryLoad{
		Services: 3, Instances: 3, Peers: 2, Rate: 50, OpenTransactions: 2,
		Warm: time.Second, Span: time.Second,
	}
}

func TestEntryRunRepeats(t *testing.T) {
	Convey("the same load gives the same events and traffic", t, func() {
		a, err := runEntry(smallLoad())
		So(err, ShouldBeNil)
		b, err := runEntry(smallLoad())
		So(err, ShouldBeNil)
		So(a.traffic, ShouldResemble, b.traffic)
		So(a.traffic.refused, ShouldEqual, 0)
		So(a.traffic.done, ShouldBeBetween, 40, 60)
		So(a.events, ShouldResemble, b.events)
	})
	Convey("a replay of the recording takes the same decisions", t, func() {
		r, err := runEntry(smallLoad())
		So(err, ShouldBeNil)
		second, other := newEntry(smallLoad()), newEntry(smallLoad())
		same := true
		for _, v := range r.events {
			same = same && reflect.DeepEqual(second.Step(v), other.Step(v))
		}
		So(same, ShouldBeTrue)
	})
}

func TestControlRunRepeats(t *testing.T) {
	Convey("the same load gives the same messages in a change of primary", t, func() {
		var sent [2][]node.SendMessage
		for i := range sent {
			r, err := newControlRun(controlLoad{Entries: 4, Services: 3, Instances: 3})
			So(err, ShouldBeNil)
			r.announce(2)
			for n := range r.load.Entries {
				r.report(n)
			}
			r.clear()
			r.fail()
			So(r.promoted, ShouldEqual, 1)
			sent[i] = r.sent
		}
		So(sent[0], ShouldResemble, sent[1])
	})
}

func TestAgreementRunRepeats(t *testing.T) {
	Convey("the same records give the same bytes, and all are committed", t, func() {
		var runs [2]*agreementRun
		for i := range runs {
			runs[i] = newAgreementRun(members)
			runs[i].run(groupStart)
			runs[i].committed = 0
			So(runs[i].propose(20), ShouldBeNil)
			So(runs[i].committed, ShouldEqual, 20)
		}
		So(runs[0].bytes, ShouldEqual, runs[1].bytes)
		So(runs[0].logBytes, ShouldEqual, runs[1].logBytes)
	})
}

func TestFiguresFollowFromRows(t *testing.T) {
	Convey("the figures of the committed report follow from its rows", t, func() {
		data, err := os.ReadFile("../docs/measurements/slopes.json")
		So(err, ShouldBeNil)
		var said Report
		So(json.Unmarshal(data, &said), ShouldBeNil)
		derived, err := ReadReport(bytes.NewReader(data))
		So(err, ShouldBeNil)
		So(derived.Figures, ShouldNotBeEmpty)
		So(derived.Figures, ShouldResemble, said.Figures)
		for _, r := range said.Rows {
			So(len(r.Points), ShouldBeGreaterThanOrEqualTo, 3)
			So(r.Line, ShouldResemble, FitLine(r.Points))
		}
	})
	Convey("a report that lacks rows is refused", t, func() {
		_, err := Derive(nil, DesignSize())
		So(err, ShouldNotBeNil)
	})
}
