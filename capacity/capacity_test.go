package capacity

import (
	"reflect"
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
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
		Services: 3, Instances: 3, Peers: 2, Rate: 50, Held: 2,
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
