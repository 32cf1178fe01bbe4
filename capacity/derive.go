package capacity

import (
	"strings"

	"github.com/juju/errors"
)

// Figure is a quantity that is calculated for a system size.
type Figure struct {
	Name    string  `json:"name"`
	Value   float64 `json:"value"`
	Unit    string  `json:"unit"`
	Limit   float64 `json:"limit,omitempty"`
	Formula string  `json:"formula"`
}

// Verdict returns "holds" or "misses" for a figure with a limit, and "-" for one
// without.
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

// deriver calculates figures from measured rows.
type deriver struct {
	rows        []Row
	size        Size
	missingRows []string
	figures     []Figure
}

// DeriveFigures calculates the figures for a system of size z from measured rows.
// It returns a NotFound error that lists the rows that are missing.
func DeriveFigures(rows []Row, z Size) ([]Figure, error) {
	d := &deriver{rows: rows, size: z}
	d.addCurrentEntry()
	d.addPlannedEntry()
	d.addCurrentControl()
	d.addPlannedControl()
	d.addAgreement()
	d.addFaults()
	if len(d.missingRows) > 0 {
		return nil, errors.NotFoundf("rows %s", strings.Join(d.missingRows, "; "))
	}
	return d.figures, nil
}

// findRow returns the first matching row whose Fixed text contains fixed, which
// may be empty. If there is none, it adds the row to missingRows.
func (d *deriver) findRow(role, quantity, unit, variable, fixed string) Row {
	for _, r := range d.rows {
		if r.Role == role && r.Quantity == quantity && r.Unit == unit && r.Variable == variable && strings.Contains(r.Fixed, fixed) {
			return r
		}
	}
	d.missingRows = append(d.missingRows, strings.Join([]string{role, quantity, unit, variable, fixed}, "/"))
	return Row{}
}

func (d *deriver) entryRow(quantity, unit string) Row {
	return d.findRow("entry", quantity, unit, "services", "no requests")
}

func (d *deriver) controlRow(quantity, unit, variable string) Row {
	return d.findRow("control", quantity, unit, variable, "3 instances")
}

func (d *deriver) failoverRow(quantity, unit, variable string) Row {
	return d.findRow("control", quantity, unit, variable, "failover")
}

func (d *deriver) addFigure(name string, value float64, unit string, limit float64, formula string) {
	d.figures = append(d.figures, Figure{name, value, unit, limit, formula})
}

// firstValue returns the value of a row's first point, which is the one with the
// smallest X, or 0 if the row has no points.
func (r Row) firstValue() float64 {
	if len(r.Points) == 0 {
		return 0
	}
	return r.Points[0].Y
}

// exchangeBytes returns the size of a report and its answer, in bytes, for a
// number of services.
func (d *deriver) exchangeBytes(services float64) float64 {
	return d.entryRow("report", "bytes").At(services) + d.entryRow("answer", "bytes").At(services)
}

// addCurrentEntry adds the figures of one entry in the current design, then those
// of the current design with subscriptions.
func (d *deriver) addCurrentEntry() {
	z := d.size
	all, subscribed := z.Databases, z.SubscribedDatabases()
	step, steps := d.entryRow("step", "µs"), d.entryRow("steps", "per s")
	requests := 2 * z.StatementsPerSecond / z.Nodes
	d.addFigure("entry today: report", d.entryRow("report", "bytes").At(all), "bytes", maxFrameBytes,
		"report(databases)")
	d.addFigure("entry today: reports and answers", currentReportsPerSecond*d.exchangeBytes(all), "bytes/s", maxNodeBytesPerSecond,
		"10 x (report + answer)(databases)")
	relayedPerService := d.findRow("entry", "announcements sent", "bytes/s", "peers", "").Slope / entryBaseServices
	d.addFigure("entry today: announcements relayed", relayedPerService*(z.Nodes-1)*z.Databases*z.Instances/z.Sites, "bytes/s", maxNodeBytesPerSecond,
		"announcements per peer / 12 x (nodes - 1) x databases x instances / sites")
	d.addFigure("entry today: heap", d.entryRow("heap", "bytes").At(all), "bytes", maxNodeMemoryBytes, "heap(databases)")
	d.addFigure("entry today: idle steps", step.At(all)*steps.At(all)/1e4, "% of a core", maxNodeCPUPercent,
		"step(databases) x steps(databases)")
	d.addFigure("entry today: steps of requests", step.At(all)*requests/1e4, "% of a core", 0,
		"step(databases) x 2 x statements / nodes")
	d.addFigure("entry today: databases that fit 6 KB/s", (maxNodeBytesPerSecond/currentReportsPerSecond-d.exchangeBytes(0))/(d.exchangeBytes(1)-d.exchangeBytes(0)), "databases", 0,
		"(6000 / 10 - exchange(0)) / exchange per service")
	d.addFigure("entry subscribed: databases", subscribed, "databases", 0, "databases x subscribers / nodes")
	d.addFigure("entry subscribed, else today: reports and answers", currentReportsPerSecond*d.exchangeBytes(subscribed), "bytes/s", maxNodeBytesPerSecond,
		"10 x (report + answer)(subscribed)")
	d.addFigure("entry subscribed, reports each second", d.exchangeBytes(subscribed)/z.IntervalSeconds, "bytes/s", maxNodeBytesPerSecond,
		"(report + answer)(subscribed) / interval")
	d.addFigure("entry subscribed: idle steps", step.At(subscribed)*steps.At(subscribed)/1e4, "% of a core", maxNodeCPUPercent,
		"step(subscribed) x steps(subscribed)")
	loadedStep := d.findRow("entry", "step", "µs", "services known", "")
	d.addFigure("entry subscribed: steps of requests", loadedStep.At(subscribed)*requests/1e4, "% of a core", 0,
		"loaded step(subscribed) x 2 x statements / nodes")
	observerStep := d.findRow("entry", "step", "µs", "services, 2 observers of 8", "")
	d.addFigure("entry subscribed: steps of requests with observers set", observerStep.At(subscribed)*requests/1e4, "% of a core", 0,
		"step with observers(subscribed) x 2 x statements / nodes")
	d.addFigure("entry subscribed: probes as text", d.probeBytes(subscribed*d.entryRow("probes", "per s").Slope, "question as text"), "bytes/s", maxNodeBytesPerSecond,
		"probes per service x subscribed x (question + answer)")
	d.addFigure("entry subscribed: heap", d.entryRow("heap", "bytes").At(subscribed), "bytes", maxNodeMemoryBytes, "heap(subscribed)")
}

// probeBytes returns the size of n probes with their answers, in bytes. question is
// the quantity of the row with the sizes of the probes without their answers.
func (d *deriver) probeBytes(n float64, question string) float64 {
	return n * (d.findRow("probe", question, "bytes", "probes", "").Slope + d.findRow("probe", "answer", "bytes", "probes", "").Slope)
}

// addPlannedEntry adds the figures of one entry in the planned design.
func (d *deriver) addPlannedEntry() {
	z := d.size
	unchangedReports := d.exchangeBytes(0) / z.IntervalSeconds
	probesPerSecond := z.Databases * z.Observers / z.Nodes / z.IntervalSeconds
	probes := d.probeBytes(probesPerSecond, "question prepared")
	bytesPerPeer := d.findRow("entry", "announcements sent", "bytes/s", "peers", "").Slope
	announcementsPerPeer := d.findRow("entry", "announcements sent", "per s", "peers", "").Slope
	announcementsPerSecond := z.Databases * z.Instances * z.AnnounceTargets / z.Nodes / z.IntervalSeconds
	announcementBytes := bytesPerPeer / announcementsPerPeer * announcementsPerSecond
	relayedBytes := d.deltaBytes() * z.ConfigChangesPerDay / secondsPerDay * (z.Fanout + 1)
	sum := unchangedReports + probes + announcementBytes + relayedBytes
	d.addFigure("entry planned: unchanged reports and answers", unchangedReports, "bytes/s", maxNodeBytesPerSecond, "exchange(0) / interval")
	d.addFigure("entry planned: probes of primaries", probes, "bytes/s", maxNodeBytesPerSecond,
		"databases x observers / nodes / interval x (prepared question + answer)")
	d.addFigure("entry planned: announcements heard", announcementBytes, "bytes/s", maxNodeBytesPerSecond,
		"databases x instances x hearers / nodes / interval x bytes of one")
	d.addFigure("entry planned: changes relayed", relayedBytes, "bytes/s", maxNodeBytesPerSecond, "delta x changes in a day / 86400 x (fanout + 1)")
	d.addFigure("entry planned: sum", sum, "bytes/s", maxNodeBytesPerSecond, "sum of the four above")
	messages := z.ConfigChangesPerDay / secondsPerDay * (z.Fanout + 1)
	packets := 3/z.IntervalSeconds + 3*probesPerSecond + 2*announcementsPerSecond + 2*messages
	d.addFigure("entry planned: sum with headers", sum+packets*packetHeaderBytes, "bytes/s", maxNodeBytesPerSecond,
		"sum + 52 x (3 / interval + 3 x probes + 2 x announcements + 2 x changes relayed)")
	sumWithoutProbes := sum - probes + (packets-3*probesPerSecond)*packetHeaderBytes
	d.addFigure("entry planned: sum with headers, primaries in use", sumWithoutProbes, "bytes/s", maxNodeBytesPerSecond,
		"the same without probes: the answers of requests show that primaries live")
	d.addFigure("entry planned: databases that may change in a second", (maxNodeBytesPerSecond-sumWithoutProbes)/(d.exchangeBytes(1)-d.exchangeBytes(0)), "databases", 0,
		"(6000 - sum with headers, primaries in use) / exchange per service")
	step := d.entryRow("step", "µs").firstValue()
	events := probesPerSecond + announcementsPerSecond + 2/z.IntervalSeconds + z.SubscribedDatabases()
	d.addFigure("entry planned: steps for control", 2*step*events/1e4, "% of a core", maxNodeCPUPercent,
		"2 x (probes + announcements + 2 reports + one timer per subscribed) x step at 3 services")
	d.addFigure("entry planned: steps of requests", step*2*z.StatementsPerSecond/z.Nodes/1e4, "% of a core", 0,
		"step at 3 services x 2 x statements / nodes")
	d.addFigure("relay planned: whole list held", d.findRow("agreement", "whole settings", "bytes", "services", "").At(z.Databases), "bytes", maxNodeMemoryBytes,
		"whole settings(databases)")
}

// deltaBytes returns the size in bytes of a change to one service, which is sent
// as an answer with the settings of that service.
func (d *deriver) deltaBytes() float64 {
	return d.findRow("agreement", "whole settings", "bytes", "services", "").At(1)
}
