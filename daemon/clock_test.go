package daemon

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"github.com/kingcupknot/kingcupknot/catalog"
)

func TestClockCountsSuspension(t *testing.T) {
	Convey("instants follow the clock that goes on while a VM is suspended", t, func() {
		var boot unix.Timespec
		So(unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot), ShouldBeNil)
		now := NewClock().Now()
		So(now.Sub(catalog.Instant(boot.Nano()).Add(clockOffset)), ShouldBeBetween, -time.Millisecond, time.Second)
	})
}
