package measure

import (
	"bufio"
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
)

// Sample is the value of a figure in one run, in the unit of the figure.
type Sample struct {
	User   string
	Policy string
	Figure string
	Value  float64
}

// PolicyPlain is the policy of the baseline runs.
const PolicyPlain = "plain"

// AppendSamples appends samples to a file, one per line. It creates the file if
// it is missing.
func AppendSamples(name string, samples ...Sample) error {
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	for _, x := range samples {
		if _, err := fmt.Fprintf(f, "%s %s %s %g\n", x.User, x.Policy, x.Figure, x.Value); err != nil {
			f.Close()
			return errors.Trace(err)
		}
	}
	return errors.Trace(f.Close())
}

// forEachLine calls do with the space-separated fields of each line of a file.
// It returns an error if a line does not have exactly count fields.
func forEachLine(name string, count int, do func([]string) error) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	for s.Scan() {
		values := strings.Fields(s.Text())
		if len(values) != count {
			return errors.Errorf("%s: line %q does not have %d fields", name, s.Text(), count)
		}
		if err := do(values); err != nil {
			return errors.Annotate(err, name)
		}
	}
	return errors.Trace(s.Err())
}

// ReadSamples reads a file in the format of AppendSamples.
func ReadSamples(name string) ([]Sample, error) {
	var out []Sample
	err := forEachLine(name, 4, func(p []string) error {
		v, err := strconv.ParseFloat(p[3], 64)
		out = append(out, Sample{User: p[0], Policy: p[1], Figure: p[2], Value: v})
		return err
	})
	return out, err
}

// ReadMarks reads a file of marks. Each line holds the time in nanoseconds since
// the Unix epoch, the name of a figure and the service.
func ReadMarks(name string) ([]Mark, error) {
	var out []Mark
	err := forEachLine(name, 3, func(p []string) error {
		at, err := strconv.ParseInt(p[0], 10, 64)
		out = append(out, Mark{At: time.Unix(0, at), Figure: p[1], Service: p[2]})
		return err
	})
	return out, err
}
