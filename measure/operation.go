// Package measure calculates the table of figures that `make measure` prints
// from the records of runs.
package measure

import (
	"encoding/csv"
	"os"
	"strconv"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/history"
	"github.com/kingcupknot/kingcupknot/workload"
)

// Operation is one recorded request with its start and end in wall-clock time.
type Operation struct {
	history.Operation
	StartedAt time.Time
	EndedAt   time.Time
}

// fieldsPerRecord is the number of CSV fields of an operation.
const fieldsPerRecord = 7

// WriteOperations writes the operations of a run to a CSV file, one per line.
func WriteOperations(name string, r workload.Result) error {
	f, err := os.Create(name)
	if err != nil {
		return errors.Trace(err)
	}
	w := csv.NewWriter(f)
	for _, o := range r.Operations {
		at := func(d time.Duration) string { return strconv.FormatInt(r.Start.Add(d).UnixNano(), 10) }
		_ = w.Write([]string{
			at(o.Start), at(o.End), o.Service, o.Session, string(o.Kind), string(o.Outcome),
			strconv.FormatBool(o.Replica),
		})
	}
	w.Flush()
	if err := w.Error(); err != nil {
		f.Close()
		return errors.Trace(err)
	}
	return errors.Trace(f.Close())
}

// ReadOperations reads a file that WriteOperations wrote. The operations have
// wall-clock times only; Start and End of the embedded Operation are zero.
func ReadOperations(name string) ([]Operation, error) {
	f, err := os.Open(name)
	if err != nil {
		return nil, errors.Trace(err)
	}
	defer f.Close()
	r := csv.NewReader(f)
	r.FieldsPerRecord = fieldsPerRecord
	lines, err := r.ReadAll()
	if err != nil {
		return nil, errors.Trace(err)
	}
	out := make([]Operation, 0, len(lines))
	for _, l := range lines {
		start, err := strconv.ParseInt(l[0], 10, 64)
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		end, err := strconv.ParseInt(l[1], 10, 64)
		if err != nil {
			return nil, errors.Annotate(err, name)
		}
		out = append(out, Operation{
			StartedAt: time.Unix(0, start), EndedAt: time.Unix(0, end),
			Operation: history.Operation{
				Service: l[2], Session: l[3], Kind: history.Kind(l[4]),
				Outcome: history.Outcome(l[5]), Replica: l[6] == "true",
			},
		})
	}
	return out, nil
}
