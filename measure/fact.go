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

// Fact is the value that one run gave for a row of the table.
type Fact struct {
	User   string
	Policy string
	Row    string
	Value  float64
}

// PolicyPlain is the name of the baseline's policy.
const PolicyPlain = "plain"

// Append adds facts to a file, one a line.
func AppendSamples(name string, facts ...Fact) error {
	f, err := os.OpenFile(name, os.O_APPEND|os.O_CREATE|os.O_WRONLY, 0o644)
	if err != nil {
		return errors.Trace(err)
	}
	for _, x := range facts {
		if _, err := fmt.Fprintf(f, "%s %s %s %g\n", x.User, x.Policy, x.Row, x.Value); err != nil {
			f.Close()
			return errors.Trace(err)
		}
	}
	return errors.Trace(f.Close())
}

// lines calls do with the fields of each line of a file.
func lines(name string, count int, do func([]string) error) error {
	f, err := os.Open(name)
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	s := bufio.NewScanner(f)
	for s.Scan() {
		part := strings.Fields(s.Text())
		if len(part) != count {
			return errors.Errorf("%s: %q has not %d fields", name, s.Text(), count)
		}
		if err := do(part); err != nil {
			return errors.Annotate(err, name)
		}
	}
	return errors.Trace(s.Err())
}

// ReadFacts reads a file of facts.
func ReadFacts(name string) ([]Fact, error) {
	var out []Fact
	err := lines(name, 4, func(p []string) error {
		v, err := strconv.ParseFloat(p[3], 64)
		out = append(out, Fact{User: p[0], Policy: p[1], Row: p[2], Value: v})
		return err
	})
	return out, err
}

// ReadMarks reads a file of marks: nanoseconds, row and service a line.
func ReadMarks(name string) ([]Mark, error) {
	var out []Mark
	err := lines(name, 3, func(p []string) error {
		at, err := strconv.ParseInt(p[0], 10, 64)
		out = append(out, Mark{At: time.Unix(0, at), Row: p[1], Service: p[2]})
		return err
	})
	return out, err
}
