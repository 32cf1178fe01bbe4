package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/workload"
)

// exitViolated is the exit code for a violation.
const exitViolated = 1

// violation is an error that reports a broken consistency guarantee, unlike an
// error that prevented the check.
type violation string

func (v violation) Error() string { return string(v) }

func violationf(format string, args ...any) error {
	return violation(fmt.Sprintf(format, args...))
}

// exitCode returns exitViolated for a violation and exitUsage for any other
// error.
func exitCode(err error) int {
	var v violation
	if errors.As(err, &v) {
		return exitViolated
	}
	return exitUsage
}

// checkReportFile checks the report in the file named by its argument.
func checkReportFile(args []string) error {
	text, err := os.ReadFile(args[0])
	if err != nil {
		return errors.Trace(err)
	}
	return checkReport(string(text))
}

// checkReport reads the JSON summary in the last line of a report of
// kingcupknot-load, prints the counts of operations and returns a violation if
// the summary has one. A report without acknowledged operations is an error,
// because nothing was checked.
func checkReport(report string) error {
	lines := strings.Split(strings.TrimSpace(report), "\n")
	var summary workload.Summary
	if err := json.Unmarshal([]byte(lines[len(lines)-1]), &summary); err != nil {
		return errors.Annotate(err, "the report has no summary")
	}
	total := summary.Acknowledged + summary.Refused + summary.Unknown + summary.Failed
	fmt.Printf("operations=%d acknowledged=%d refused=%d unknown=%d failed=%d\n",
		total, summary.Acknowledged, summary.Refused, summary.Unknown, summary.Failed)
	if summary.Acknowledged == 0 {
		return errors.New("nothing was acknowledged, so nothing was checked")
	}
	if summary.LostWrites+summary.DuplicateWrites+summary.StaleReads+summary.MaxAgeViolations+summary.UnwrittenValues+summary.RefusedButPresent > 0 || summary.SumMismatch {
		return violationf("lost=%d doubled=%d stale=%d too-old=%d invented=%d refused-but-present=%d sum-wrong=%t",
			summary.LostWrites, summary.DuplicateWrites, summary.StaleReads, summary.MaxAgeViolations, summary.UnwrittenValues, summary.RefusedButPresent, summary.SumMismatch)
	}
	return nil
}
