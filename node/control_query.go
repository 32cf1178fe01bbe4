package node

import (
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// primaryQuery holds the queries of control itself to a primary that too few entries
// have heard or tried to reach. At most one is in progress.
type primaryQuery struct {
	survey uint64
	isOpen bool
	// endsAt is when the last query was answered or failed, or its deadline if it
	// is in progress.
	endsAt catalog.Instant
	// failures counts the queries in a row that failed.
	failures int
}

const (
	// queryInterval bounds the rate at which primaries are queried when the entries
	// of a large fleet start.
	queryInterval = 5 * time.Millisecond
	// minFailedQueries is how many queries in a row must fail. The first may fail
	// because an open connection went silent; the second opens a new one.
	minFailedQueries = 2
)

// isSilentToControl reports whether control's own queries to a primary have recently
// failed, and starts one if it is due. An entry that has just started may fail to
// reach a healthy primary because it is short of processor time.
func (c *Control) isSilentToControl(p catalog.Primary) bool {
	u := c.upstreams[p.Instance]
	if u == nil {
		return true
	}
	q := c.primaryQueries[p.Instance]
	if q == nil {
		q = &primaryQuery{}
		c.primaryQueries[p.Instance] = q
	}
	t := c.options.Timings
	if q.isOpen && !c.now.Before(q.endsAt) {
		q.isOpen = false
		q.failures++
	}
	if c.now.After(q.endsAt.Add(t.AnnouncementTTL)) {
		q.failures = 0
	}
	if c.isQueryDue(q) {
		c.nextQueryAt = c.now.Add(queryInterval)
		q.endsAt = c.now.Add(t.ProbeTimeout)
		q.survey, q.isOpen = c.surveyUpstream(u, q.endsAt), true
	}
	return q.failures >= minFailedQueries
}

// isQueryDue reports whether a primary must be queried. An answer counts for as long
// as an announcement, so that a healthy primary is not queried more often.
func (c *Control) isQueryDue(q *primaryQuery) bool {
	hasAnswered := q.endsAt != 0 && q.failures == 0
	if q.isOpen || c.now.Before(c.nextQueryAt) {
		return false
	}
	return !hasAnswered || !c.now.Before(q.endsAt.Add(c.options.Timings.AnnouncementTTL))
}

// recordQueryAnswer stores the outcome of a query to a primary. An answer that can't
// be used, for instance because the primary is busy, shows that it runs.
func (c *Control) recordQueryAnswer(v SurveyDone) {
	q := c.primaryQueries[v.Instance]
	if q == nil || !q.isOpen || q.survey != v.Survey {
		return
	}
	q.isOpen, q.endsAt = false, c.now
	if v.Evidence == wire.EvidenceRefused || v.Evidence == wire.EvidenceTimeout {
		q.failures++
	} else {
		q.failures = 0
	}
}
