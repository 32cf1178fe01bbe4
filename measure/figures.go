package measure

import "fmt"

// Users whose figures are measured.
const (
	UserAlWusta = "al-wusta"
	UserCumbres = "cumbres"
)

// Units of figures.
const (
	unitMS      = "ms"
	unitUS      = "us"
	unitPercent = "%"
	unitCount   = "n"
	unitRatio   = "x"
)

// Figures returns the figures of a user in the order of the table, the most
// important ones first.
func Figures(user string) []Figure {
	if user == UserAlWusta {
		return append(failoverFigures(), connectionFigures()...)
	}
	out := shareFigures()
	out = append(out, overloadFigures()...)
	out = append(out, connectionFigures()...)
	return append(out, entryFigures()...)
}

func failoverFigures() []Figure {
	return []Figure{
		{"gap-killed", "failover gap, primary killed", AtMost, 300, unitMS},
		{"gap-frozen", "failover gap, primary frozen", AtMost, 1000, unitMS},
		{"false-promotion", "promotions for pauses of 350 ms", AtMost, 0, unitCount},
		{"gap-planned", "planned change of primary", AtMost, 50, unitMS},
		{"planned-not-done", "requests not done within 1 s of a planned change", AtMost, 0, unitCount},
		{"gap-site", "site lost: primary, control leader, entries", AtMost, 1500, unitMS},
		{"recovery", "goodput back to 95% after the primary is killed", AtMost, 2000, unitMS},
		{"sent-ratio", "sendings by callers for each request, failovers included", AtMost, 1.1, unitRatio},
		{"run-ratio", "runs by entries for each request, failovers included", AtMost, 1.1, unitRatio},
		{"violations", "violations found in the history, lost writes aside", AtMost, 0, unitCount},
		{"lost", "acknowledged writes that no replica had (ack = primary)", NoTarget, 0, unitCount},
	}
}

// replicaLagsMS returns the replication lags at which replica reads are
// measured, in milliseconds.
func replicaLagsMS() []int {
	return []int{5, 50, 500, 5000}
}

func shareFigures() []Figure {
	var out []Figure
	for _, mode := range []string{"token", "id"} {
		for _, lag := range replicaLagsMS() {
			out = append(out, Figure{
				fmt.Sprintf("share-%s-%d", mode, lag),
				fmt.Sprintf("replica reads of those possible, %s, lag %d ms", mode, lag),
				AtLeast, 95, unitPercent,
			})
		}
	}
	return append(
		out,
		Figure{"share-age-50", "reads of age 500 ms at replicas, lag 50 ms, browsing 90%", AtLeast, 99, unitPercent},
		Figure{"violations", "violations found in the history", AtMost, 0, unitCount},
	)
}

func overloadFigures() []Figure {
	return []Figure{
		{"p99-unloaded", "p99 of bookings and payments, unloaded", NoTarget, 0, unitMS},
		{"p99-loaded", "p99 of bookings and payments, browsing at 3x", NoTarget, 0, unitMS},
		{"p99-ratio", "p99 with browsing at 3x over unloaded", AtMost, 2, unitRatio},
		{"browse-offered", "browsing asked for each one done", NoTarget, 0, unitRatio},
		{"browse-refused-p50", "time to a refusal of browsing, p50", NoTarget, 0, unitMS},
		{"browse-refused-p99", "time to a refusal of browsing, p99", NoTarget, 0, unitMS},
		{"browse-hinted", "refusals that say when to return", AtLeast, 100, unitPercent},
	}
}

func connectionFigures() []Figure {
	return []Figure{
		{"connections-over", "connections over the limit, any instance", AtMost, 0, unitCount},
		{"connections-refused", "connections that an instance refused", AtMost, 0, unitCount},
		{"executing-over", "statements over the slots, any instance", AtMost, 0, unitCount},
		{"limit-open", "connections open of the limit, all work at one entry", NoTarget, 0, unitPercent},
		{"limit-use", "connections at work of the limit, all work at one entry", AtLeast, 90, unitPercent},
	}
}

func entryFigures() []Figure {
	return []Figure{
		{"configuration", "configuration in force at all entries, control down", AtMost, 1000, unitMS},
		{"added-simple", "latency added by the entry, p50, simple", AtMost, 150, unitUS},
		{"added-extended", "latency added by the entry, p50, extended", AtMost, 150, unitUS},
		{"per-core", "requests a second per core of the entry", NoTarget, 0, unitCount},
	}
}
