package report

import (
	"bufio"
	"bytes"
	"cmp"
	"io"
	"slices"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/juju/errors"
)

const (
	// maxLineBytes is the longest line that is read; longer ones end the report.
	maxLineBytes = 1 << 20
	// maxBadLines is how many lines that can't be read are listed with their
	// place; the others are only counted.
	maxBadLines = 5
	// Latencies are recorded in microseconds with two significant digits.
	maxLatencyMicroseconds = int64(time.Hour / time.Microsecond)
	latencyDigits          = 2
)

// Key says by what a report adds up decisions.
type Key string

// Keys of reports.
const (
	ByService      Key = "service"
	BySite         Key = "site"
	ByVM           Key = "vm"
	ByDatabase     Key = "database"
	ByUpstream     Key = "upstream"
	ByOrganisation Key = "organisation"
)

// Keys are all keys, in the order in which they are documented.
var Keys = []Key{ByService, BySite, ByVM, ByDatabase, ByUpstream, ByOrganisation}

func (k Key) valueOf(l Line) string {
	switch k {
	case BySite:
		return l.Site
	case ByVM:
		return l.VM
	case ByDatabase:
		return l.Database
	case ByUpstream:
		return l.Instance
	case ByOrganisation:
		return l.Organisation
	default:
		return l.Service
	}
}

// Row is the sum of the decisions of one window and one value of the key.
type Row struct {
	// From is the start of the window, counted from the earliest decision.
	From  time.Duration `json:"from"`
	Value string        `json:"value"`
	// Done, NotRun and Unknown count the verdicts.
	Done    int `json:"done"`
	NotRun  int `json:"not-run"`
	Unknown int `json:"unknown"`
	// WaitP50, WaitP99, TookP50 and TookP99 are quantiles over the requests that
	// were done: until their last run, and until their end.
	WaitP50 time.Duration `json:"wait-p50"`
	WaitP99 time.Duration `json:"wait-p99"`
	TookP50 time.Duration `json:"took-p50"`
	TookP99 time.Duration `json:"took-p99"`
	// Running is the average number of statements in progress at upstreams. It
	// includes those that wait there for a slot.
	Running float64 `json:"running"`
}

// Cause counts the requests that were not done for one reason.
type Cause struct {
	Verdict string `json:"verdict"`
	Cause   string `json:"cause"`
	Count   int    `json:"count"`
}

// BadLine is a line that can't be read.
type BadLine struct {
	File string `json:"file"`
	Line int    `json:"line"`
	Text string `json:"text"`
}

// Report is the result of reading logs.
type Report struct {
	Rows   []Row   `json:"rows"`
	Causes []Cause `json:"causes"`
	// Decisions counts the decisions, BadLineCount the lines that can't be read.
	// BadLines holds the first of those.
	Decisions    int       `json:"decisions"`
	BadLineCount int       `json:"bad-line-count"`
	BadLines     []BadLine `json:"bad-lines"`
}

// Reader collects decisions from any number of logs.
type Reader struct {
	lines []Line
	// decided holds the requests of which the entry that ran them has logged the
	// decision; forwarded holds the decisions of the entries that forwarded them.
	decided   map[string]bool
	forwarded []Line
	badLines  []BadLine
	badCount  int
}

// Read reads a log. Lines that can't be read are counted and skipped. It fails if
// the log itself can't be read or has a line of more than 1 MiB.
func (d *Reader) Read(file string, log io.Reader) error {
	if d.decided == nil {
		d.decided = map[string]bool{}
	}
	s := bufio.NewScanner(log)
	s.Buffer(nil, maxLineBytes)
	for n := 1; s.Scan(); n++ {
		if len(bytes.TrimSpace(s.Bytes())) > 0 {
			d.add(file, n, s.Bytes())
		}
	}
	return errors.Annotate(s.Err(), file)
}

func (d *Reader) add(file string, number int, text []byte) {
	l, isDecision, err := parseLine(text)
	switch {
	case err != nil:
		d.badCount++
		if len(d.badLines) < maxBadLines {
			d.badLines = append(d.badLines, BadLine{File: file, Line: number, Text: err.Error()})
		}
	case !isDecision:
	case l.Via != "":
		d.forwarded = append(d.forwarded, l)
	default:
		d.decided[l.Request] = true
		d.lines = append(d.lines, l)
	}
}

// Report adds up the decisions by window and by key. The window must be positive.
func (d *Reader) Report(window time.Duration, k Key) Report {
	lines := slices.Clone(d.lines)
	for _, l := range d.forwarded {
		if !d.decided[l.Request] {
			lines = append(lines, l)
		}
	}
	out := Report{Decisions: len(lines), BadLineCount: d.badCount, BadLines: d.badLines}
	if len(lines) == 0 {
		return out
	}
	start := slices.MinFunc(lines, func(a, b Line) int { return a.Time.Compare(b.Time) }).Time
	cells, causes := map[cellKey]*cell{}, map[Cause]int{}
	for _, l := range lines {
		at := cellKey{from: l.Time.Sub(start) / window * window, value: k.valueOf(l)}
		c := cells[at]
		if c == nil {
			c = newCell()
			cells[at] = c
		}
		c.add(l)
		if l.Verdict != verdictDone {
			causes[Cause{Verdict: l.Verdict, Cause: l.Cause}]++
		}
	}
	for at, c := range cells {
		out.Rows = append(out.Rows, c.row(at, window))
	}
	slices.SortFunc(out.Rows, func(a, b Row) int { return cmp.Or(cmp.Compare(a.From, b.From), cmp.Compare(a.Value, b.Value)) })
	for c, n := range causes {
		c.Count = n
		out.Causes = append(out.Causes, c)
	}
	slices.SortFunc(out.Causes, func(a, b Cause) int {
		return cmp.Or(cmp.Compare(b.Count, a.Count), cmp.Compare(a.Verdict, b.Verdict), cmp.Compare(a.Cause, b.Cause))
	})
	return out
}

// cellKey identifies a row of a report.
type cellKey struct {
	from  time.Duration
	value string
}

// cell collects the decisions of one row.
type cell struct {
	done, notRun, unknown int
	waits, latencies      *hdrhistogram.Histogram
	running               time.Duration
}

func newCell() *cell {
	return &cell{
		waits:     hdrhistogram.New(1, maxLatencyMicroseconds, latencyDigits),
		latencies: hdrhistogram.New(1, maxLatencyMicroseconds, latencyDigits),
	}
}

func (c *cell) add(l Line) {
	if l.Instance != "" {
		c.running += time.Duration(max(l.TookMicroseconds-l.WaitedMicroseconds, 0)) * time.Microsecond
	}
	switch l.Verdict {
	case verdictDone:
		c.done++
		record(c.waits, l.WaitedMicroseconds)
		record(c.latencies, l.TookMicroseconds)
	case verdictUnknown:
		c.unknown++
	default:
		// Besides not-run, the verdicts of requests that were refused before their
		// service was known, such as unknown-key.
		c.notRun++
	}
}

// record adds a latency to a histogram. Latencies beyond its range count as its
// lowest or highest.
func record(h *hdrhistogram.Histogram, microseconds int64) {
	// RecordValue fails only for values beyond the range.
	_ = h.RecordValue(min(max(microseconds, 0), maxLatencyMicroseconds))
}

func (c *cell) row(at cellKey, window time.Duration) Row {
	quantile := func(h *hdrhistogram.Histogram, percent float64) time.Duration {
		return time.Duration(h.ValueAtQuantile(percent)) * time.Microsecond
	}
	return Row{
		From: at.from, Value: at.value, Done: c.done, NotRun: c.notRun, Unknown: c.unknown,
		WaitP50: quantile(c.waits, 50), WaitP99: quantile(c.waits, 99),
		TookP50: quantile(c.latencies, 50), TookP99: quantile(c.latencies, 99),
		Running: c.running.Seconds() / window.Seconds(),
	}
}
