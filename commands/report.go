package commands

import (
	"encoding/csv"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/jessevdk/go-flags"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/report"
)

func init() {
	register("report", "Add up the decisions in logs of entries", func(cli *CLI) flags.Commander {
		return &reportCommand{cli: cli}
	})
}

type reportCommand struct {
	cli    *CLI
	Window time.Duration `long:"window" default:"2s" description:"length of a window"`
	By     report.Key    `long:"by" default:"service" choice:"service" choice:"site" choice:"vm" choice:"database" choice:"upstream" choice:"organisation" description:"what the rows are about"`
	CSV    bool          `long:"csv" description:"print the rows as CSV"`
	Args   struct {
		Files []string `positional-arg-name:"FILE" description:"logs of entries; standard input if left out"`
	} `positional-args:"yes"`
}

// Execute reads the logs and prints the report.
func (c *reportCommand) Execute([]string) error {
	if c.Window <= 0 {
		return usageError("window must be longer than zero")
	}
	d := &report.Reader{}
	if err := c.read(d); err != nil {
		return err
	}
	r := d.Report(c.Window, c.By)
	switch {
	case c.cli.Options.JSON:
		c.cli.printJSON(r)
	case c.CSV:
		return c.printCSV(r)
	default:
		c.print(r)
	}
	return nil
}

func (c *reportCommand) read(d *report.Reader) error {
	if len(c.Args.Files) == 0 {
		return errors.Trace(d.Read("standard input", c.cli.Stdin))
	}
	for _, name := range c.Args.Files {
		f, err := os.Open(name)
		if err != nil {
			return &Failure{Exit: ExitNotFound, Text: err.Error()}
		}
		err = d.Read(name, f)
		// The file was only read, so nothing is lost if Close fails.
		_ = f.Close()
		if err != nil {
			return errors.Trace(err)
		}
	}
	return nil
}

var reportColumns = []string{"FROM", "VALUE", "DONE", "NOT-RUN", "UNKNOWN", "WAIT-P50", "WAIT-P99", "TOOK-P50", "TOOK-P99", "RUNNING"}

func (c *reportCommand) print(r report.Report) {
	t := newTable(c.cli.Stdout, reportColumns...)
	for _, v := range r.Rows {
		t.addRow(v.From, v.Value, v.Done, v.NotRun, v.Unknown, v.WaitP50, v.WaitP99, v.TookP50, v.TookP99, strconv.FormatFloat(v.Running, 'f', 1, 64))
	}
	t.flush()
	if len(r.Causes) > 0 {
		fmt.Fprintln(c.cli.Stdout)
		t = newTable(c.cli.Stdout, "COUNT", "VERDICT", "CAUSE")
		for _, v := range r.Causes {
			t.addRow(v.Count, v.Verdict, v.Cause)
		}
		t.flush()
	}
	c.warnOfBadLines(r)
}

// printCSV prints the rows with lengths of time in milliseconds.
func (c *reportCommand) printCSV(r report.Report) error {
	w := csv.NewWriter(c.cli.Stdout)
	milliseconds := func(d time.Duration) string {
		return strconv.FormatFloat(float64(d)/float64(time.Millisecond), 'f', 1, 64)
	}
	rows := [][]string{{"from-ms", "value", "done", "not-run", "unknown", "wait-p50-ms", "wait-p99-ms", "took-p50-ms", "took-p99-ms", "running"}}
	for _, v := range r.Rows {
		rows = append(rows, []string{
			milliseconds(v.From), v.Value, strconv.Itoa(v.Done), strconv.Itoa(v.NotRun), strconv.Itoa(v.Unknown),
			milliseconds(v.WaitP50), milliseconds(v.WaitP99), milliseconds(v.TookP50), milliseconds(v.TookP99),
			strconv.FormatFloat(v.Running, 'f', 2, 64),
		})
	}
	c.warnOfBadLines(r)
	return errors.Trace(w.WriteAll(rows))
}

// warnOfBadLines says on standard error which lines could not be read.
func (c *reportCommand) warnOfBadLines(r report.Report) {
	for _, b := range r.BadLines {
		fmt.Fprintf(c.cli.Stderr, "%s:%d: %s\n", b.File, b.Line, b.Text)
	}
	if r.BadLineCount > 0 {
		fmt.Fprintf(c.cli.Stderr, "%d lines could not be read.\n", r.BadLineCount)
	}
}
