package capacity

import (
	"strings"

	"github.com/juju/errors"
)

// Figure is a quantity worked out for a size.
type Figure struct {
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Limit   float64 `json:"limit,omitempty"`
	Formula string  `json:"formula"`
}

// Verdict says whether the limit holds.
func (f Figure) Verdict() string {
	switch {
	case f.Limit == 0:
		return "-"
	case f.Value <= f.Limit:
		return "holds"
	default:
		return "misses"
	}
}

// deriver finds lines and notes figures.
type deriver struct {
	rows    []Row
	size    Size
	missing []string
	figures []Figure
}

// Derive works out the figures at a size from measured rows.
func Derive(rows []Row, z Size) ([]Figure, error) {
	d := &deriver{rows: rows, size: z}
	d.entryToday()
	d.entryPlanned()
	d.controlToday()
	d.controlPlanned()
	d.agreement()
	d.faults()
	if len(d.missing) > 0 {
		return nil, errors.NotFoundf("rows %s", strings.Join(d.missing, "; "))
	}
	return d.figures, nil
}

// line finds a row; the last part is a piece of what was fixed, or empty.
func (d *deriver) line(role, quantity, unit, variable, fixed string) Row {
	for _, r := range d.rows {
		if r.Role == role && r.Quantity == quantity && r.Unit == unit && r.Variable == variable && strings.Contains(r.Fixed, fixed) {
			return r
		}
	}
	d.missing = append(d.missing, strings.Join([]string{role, quantity, unit, variable, fixed}, "/"))
	return Row{}
}

func (d *deriver) entry(quantity, unit string) Row {
	return d.line("entry", quantity, unit, "services", "no requests")
}

func (d *deriver) control(quantity, unit, variable string) Row {
	return d.line("control", quantity, unit, variable, "3 instances")
}

func (d *deriver) failover(quantity, unit, variable string) Row {
	return d.line("control", quantity, unit, variable, "failover")
}

func (d *deriver) note(name string, value float64, unit string, limit float64, formula string) {
	d.figures = append(d.figures, Figure{name, value, unit, limit, formula})
}

// first is the smallest point of a row.
func (r Row) first() float64 {
	if len(r.Points) == 0 {
		return 0
	}
	return r.Points[0].Y
}

// exchange is the bytes of a report and its answer for so many databases.
func (d *deriver) exchange(services float64) float64 {
	return d.entry("report", "bytes").At(services) + d.entry("answer", "bytes").At(services)
}

// entryToday is one entry with today's mechanisms.
func (d *deriver) entryToday() {
	z := d.size
	all, some := z.Databases, z.Subscribed()
	step, steps := d.entry("step", "µs"), d.entry("steps", "per s")
	requests := 2 * z.StatementsPerSecond / z.Nodes
	d.note("entry today: report", d.entry("report", "bytes").At(all), "bytes", frameMost,
		"report(databases)")
	d.note("entry today: reports and answers", reportsNow*d.exchange(all), "bytes/s", nodeBytes,
		"10 x (report + answer)(databases)")
	relayed := d.line("entry", "announcements sent", "bytes/s", "peers", "").Slope / someServices
	d.note("entry today: announcements relayed", relayed*(z.Nodes-1)*z.Databases*z.Instances/z.Sites, "bytes/s", nodeBytes,
		"announcements per peer / 12 x (nodes - 1) x databases x instances / sites")
	d.note("entry today: heap", d.entry("heap", "bytes").At(all), "bytes", nodeMemory, "heap(databases)")
	d.note("entry today: idle steps", step.At(all)*steps.At(all)/1e4, "% of a core", nodePercent,
		"step(databases) x steps(databases)")
	d.note("entry today: steps of requests", step.At(all)*requests/1e4, "% of a core", 0,
		"step(databases) x 2 x statements / nodes")
	d.note("entry today: databases that fit 6 KB/s", (nodeBytes/reportsNow-d.exchange(0))/(d.exchange(1)-d.exchange(0)), "databases", 0,
		"(6000 / 10 - exchange(0)) / exchange per service")
	d.note("entry subscribed: databases", some, "databases", 0, "databases x subscribers / nodes")
	d.note("entry subscribed, else today: reports and answers", reportsNow*d.exchange(some), "bytes/s", nodeBytes,
		"10 x (report + answer)(subscribed)")
	d.note("entry subscribed, reports each second", d.exchange(some)/z.IntervalSeconds, "bytes/s", nodeBytes,
		"(report + answer)(subscribed) / interval")
	d.note("entry subscribed: idle steps", step.At(some)*steps.At(some)/1e4, "% of a core", nodePercent,
		"step(subscribed) x steps(subscribed)")
	loaded := d.line("entry", "step", "µs", "services known", "")
	d.note("entry subscribed: steps of requests", loaded.At(some)*requests/1e4, "% of a core", 0,
		"loaded step(subscribed) x 2 x statements / nodes")
	shared := d.line("entry", "step", "µs", "services, 2 observers of 8", "")
	d.note("entry subscribed: steps of requests with observers set", shared.At(some)*requests/1e4, "% of a core", 0,
		"step with observers(subscribed) x 2 x statements / nodes")
	d.note("entry subscribed: probes as text", d.probes(some*d.entry("probes", "per s").Slope, "question as text"), "bytes/s", nodeBytes,
		"probes per service x subscribed x (question + answer)")
	d.note("entry subscribed: heap", d.entry("heap", "bytes").At(some), "bytes", nodeMemory, "heap(subscribed)")
}

// probes is the bytes of so many probes.
func (d *deriver) probes(n float64, question string) float64 {
	return n * (d.line("probe", question, "bytes", "probes", "").Slope + d.line("probe", "answer", "bytes", "probes", "").Slope)
}

// entryPlanned is one entry with the planned mechanisms.
func (d *deriver) entryPlanned() {
	z := d.size
	beat := d.exchange(0) / z.IntervalSeconds
	watched := z.Databases * z.Observers / z.Nodes / z.IntervalSeconds
	probes := d.probes(watched, "question prepared")
	peers := d.line("entry", "announcements sent", "bytes/s", "peers", "").Slope
	perSecond := d.line("entry", "announcements sent", "per s", "peers", "").Slope
	heard := z.Databases * z.Instances * z.Hearers / z.Nodes / z.IntervalSeconds
	announced := peers / perSecond * heard
	relayed := d.delta() * z.Changes / secondsIn * (z.Fanout + 1)
	sum := beat + probes + announced + relayed
	d.note("entry planned: unchanged reports and answers", beat, "bytes/s", nodeBytes, "exchange(0) / interval")
	d.note("entry planned: probes of primaries", probes, "bytes/s", nodeBytes,
		"databases x observers / nodes / interval x (prepared question + answer)")
	d.note("entry planned: announcements heard", announced, "bytes/s", nodeBytes,
		"databases x instances x hearers / nodes / interval x bytes of one")
	d.note("entry planned: changes relayed", relayed, "bytes/s", nodeBytes, "delta x changes in a day / 86400 x (fanout + 1)")
	d.note("entry planned: sum", sum, "bytes/s", nodeBytes, "sum of the four above")
	messages := z.Changes / secondsIn * (z.Fanout + 1)
	packets := 3/z.IntervalSeconds + 3*watched + 2*heard + 2*messages
	d.note("entry planned: sum with headers", sum+packets*packetHeader, "bytes/s", nodeBytes,
		"sum + 52 x (3 / interval + 3 x probes + 2 x announcements + 2 x changes relayed)")
	busy := sum - probes + (packets-3*watched)*packetHeader
	d.note("entry planned: sum with headers, primaries in use", busy, "bytes/s", nodeBytes,
		"the same without probes: the answers of requests show that primaries live")
	d.note("entry planned: databases that may change in a second", (nodeBytes-busy)/(d.exchange(1)-d.exchange(0)), "databases", 0,
		"(6000 - sum with headers, primaries in use) / exchange per service")
	step := d.entry("step", "µs").first()
	events := watched + heard + 2/z.IntervalSeconds + z.Subscribed()
	d.note("entry planned: steps for control", 2*step*events/1e4, "% of a core", nodePercent,
		"2 x (probes + announcements + 2 reports + one timer per subscribed) x step at 3 services")
	d.note("entry planned: steps of requests", step*2*z.StatementsPerSecond/z.Nodes/1e4, "% of a core", 0,
		"step at 3 services x 2 x statements / nodes")
	d.note("relay planned: whole list held", d.line("agreement", "whole settings", "bytes", "services", "").At(z.Databases), "bytes", nodeMemory,
		"whole settings(databases)")
}

// delta is the bytes of a changed service: an answer with one.
func (d *deriver) delta() float64 {
	return d.line("agreement", "whole settings", "bytes", "services", "").At(1)
}
