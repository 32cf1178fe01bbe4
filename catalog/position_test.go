package catalog

import (
	"testing"

	. "github.com/smartystreets/goconvey/convey"
)

func TestForksCover(t *testing.T) {
	forks := Forks{{Term: 2, At: 100}, {Term: 3, At: 80}}
	Convey("a position of a later term covers the part of the history before the forks", t, func() {
		So(forks.Covers(Position{Term: 1, Offset: 120}, Position{Term: 1, Offset: 110}), ShouldBeTrue)
		So(forks.Covers(Position{Term: 2, Offset: 99}, Position{Term: 1, Offset: 110}), ShouldBeFalse)
		So(forks.Covers(Position{Term: 2, Offset: 100}, Position{Term: 1, Offset: 110}), ShouldBeTrue)
		So(forks.Covers(Position{Term: 3, Offset: 80}, Position{Term: 1, Offset: 110}), ShouldBeTrue)
		So(forks.Covers(Position{Term: 1, Offset: 200}, Position{Term: 2, Offset: 101}), ShouldBeFalse)
	})
	Convey("With inserts a fork in order of terms and ignores a known term", t, func() {
		So(Forks{{Term: 3, At: 80}}.With(Fork{Term: 2, At: 100}), ShouldResemble, forks)
		So(forks.With(Fork{Term: 2, At: 1}), ShouldResemble, forks)
	})
}
