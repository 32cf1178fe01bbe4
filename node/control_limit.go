package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/ratelimit"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	// shareIntervals is the length of a share of a limit in report intervals. It
	// outlasts the change of control's leader.
	shareIntervals = 15
	// maxLimitLogs is the highest number of log lines per second on
	// organisations that are limited.
	maxLimitLogs = 5
)

// controlLimits is the state of the leader that concerns the limits of
// organisations.
type controlLimits struct {
	// allocator is created anew by each leader.
	allocator *ratelimit.Allocator
	// reportedCount is the highest number of entries that an entry has reported
	// to this leader. A new leader does not know the entries that are cut off.
	reportedCount int
	// logCount is the number of log lines since logSecond.
	logCount  int
	logSecond catalog.Instant
}

func (c *Control) resetLimits() {
	length := shareIntervals * c.options.Timings.ReportInterval
	c.limits = controlLimits{allocator: ratelimit.NewAllocator(ratelimit.Options{
		ReportInterval: c.options.Timings.ReportInterval, ShareLength: length,
	}, c.now)}
}

// recordUsage records which organisations have work at an entry.
func (c *Control) recordUsage(vm catalog.VMID, r wire.Report) {
	if !c.state.KeysRequired {
		return
	}
	l := &c.limits
	l.reportedCount = max(l.reportedCount, r.EntryCount)
	v := c.entries[vm]
	v.entryCount = r.EntryCount
	if r.EntryCount != 0 && !v.entryCountSent {
		l.allocator.SetPredecessor()
	}
	unheard := 0
	if c.now.Sub(c.quorum.LeaderSince()) < forgetAfter {
		unheard = c.entryCount() - len(c.entries)
	}
	l.allocator.SetEntryCount(c.entryCount(), unheard)
	usage := make([]ratelimit.Usage, 0, len(r.Usage))
	for _, u := range r.Usage {
		usage = append(usage, ratelimit.Usage{Organisation: u.Organisation, Asked: float64(u.Rate), Refused: float64(u.Refused)})
	}
	l.allocator.Report(c.now, vm, usage, c.limitOf)
	for _, v := range l.allocator.Changes() {
		c.logLimited(v)
	}
}

func (c *Control) limitOf(id catalog.OrganisationID) ratelimit.Limit {
	o, _ := c.state.Organisation(id)
	return ratelimit.Limit{Rate: o.Rate, Burst: o.Burst}
}

// entryCount returns the number of entries of all sites, including those that
// were running recently and may be cut off.
func (c *Control) entryCount() int {
	n := max(len(c.entries), len(c.options.Entries))
	if c.now.Sub(c.quorum.LeaderSince()) < forgetAfter {
		n = max(n, c.limits.reportedCount)
	}
	return n
}

// addLimitsToAnswer adds the shares of limited organisations that the entry
// needs. A leader that may have been replaced assigns none.
func (c *Control) addLimitsToAnswer(a *wire.Answer, vm catalog.VMID) {
	if !c.state.KeysRequired || a.Version == 0 {
		return
	}
	if n := c.entryCount(); n != c.entries[vm].entryCount {
		a.EntryCount, c.entries[vm].entryCountSent = n, true
	}
	length := shareIntervals * c.options.Timings.ReportInterval
	for _, s := range c.limits.allocator.Shares(c.now, vm) {
		a.Limits = append(a.Limits, wire.OrganisationLimit{
			Organisation: s.Organisation, Rate: float32(s.Rate), Burst: float32(s.Burst), Length: length,
		})
	}
}

// logLimited logs that the limiting of an organisation begins or ends.
func (c *Control) logLimited(v ratelimit.Change) {
	l := &c.limits
	if c.now.Sub(l.logSecond) >= time.Second {
		l.logSecond, l.logCount = c.now, 0
	}
	if l.logCount++; l.logCount > maxLimitLogs {
		return
	}
	text := "An organisation is no longer limited."
	if v.Limited {
		text = "An organisation asks for more than its limit."
	}
	c.log("control", text, "organisation", string(v.Organisation))
}
