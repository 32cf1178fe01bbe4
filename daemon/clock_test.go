package daemon

import (
	"testing"
	"time"

	. "github.com/smartystreets/goconvey/convey"
	"golang.org/x/sys/unix"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// Instants must include the time for which the VM is suspended. Otherwise a
// lease would still be valid after a suspension.
func TestClockCountsSuspension(t *testing.T) {
	Convey("instants are read from CLOCK_BOOTTIME, which includes suspension", t, func() {
		var boot unix.Timespec
		So(unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot), ShouldBeNil)
		now := NewClock().Now()
		So(now.Sub(catalog.Instant(boot.Nano()).Add(clockOffset)), ShouldBeBetween, -time.Millisecond, time.Second)
	})
}
