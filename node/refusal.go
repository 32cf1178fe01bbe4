package node

import (
	"strconv"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// refusalLogInterval is the minimum time between two log lines about refused
// announcements. Their number is up to whoever sends them.
const refusalLogInterval = time.Second

// refusals counts refused announcements for the log.
type refusals struct {
	// count is the number since the last line. Invariant: no line is logged before
	// nextLogAt.
	count     int
	nextLogAt catalog.Instant
}

// refuse returns the effects that report an announcement that can't be used.
func (r *refusals) refuse(now catalog.Instant, a catalog.Announcement, cause error) []Effect {
	r.count++
	effects := []Effect{Count{Name: "announcements-refused", Delta: 1}}
	if now.Before(r.nextLogAt) {
		return effects
	}
	line := Log{Part: "upstreams", Text: "An announcement was refused.", Pairs: []string{
		"cause", cause.Error(), "refused", strconv.Itoa(r.count), "life", strconv.FormatUint(a.Incarnation, 10),
	}}
	r.count, r.nextLogAt = 0, now.Add(refusalLogInterval)
	return append(effects, line)
}
