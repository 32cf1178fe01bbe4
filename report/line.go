package report

import (
	"bytes"
	"encoding/json"
	"time"

	"github.com/juju/errors"
)

const (
	decisionPart   = "request"
	verdictDone    = "done"
	verdictUnknown = "unknown"
)

// Line is a line of an entry's log that says how a request was decided.
type Line struct {
	// Time is the time of day at the VM when the request was decided.
	Time     time.Time `json:"time"`
	Part     string    `json:"part"`
	Request  string    `json:"request"`
	VM       string    `json:"vm"`
	Site     string    `json:"site"`
	Service  string    `json:"service"`
	Database string    `json:"database"`
	Instance string    `json:"instance"`
	// Organisation is empty if the caller belongs to none.
	Organisation string `json:"organisation"`
	Verdict      string `json:"verdict"`
	Cause        string `json:"cause"`
	// TookMicroseconds counts from the arrival of the request to its end,
	// WaitedMicroseconds from its arrival to its last run.
	TookMicroseconds   int64 `json:"took-us"`
	WaitedMicroseconds int64 `json:"waited-us"`
	// Via is the entry that the request was forwarded to. The other entry logs the
	// same request.
	Via string `json:"via"`
}

// parseLine decodes a line of JSON, which may stand behind a prefix of a collector
// of logs. It reports false for a line that is no decision.
func parseLine(text []byte) (Line, bool, error) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return Line{}, false, errors.New("no JSON object")
	}
	var l Line
	if err := json.Unmarshal(text[start:], &l); err != nil {
		return Line{}, false, errors.Trace(err)
	}
	if l.Part != decisionPart {
		return Line{}, false, nil
	}
	if l.Time.IsZero() || l.VM == "" || l.Verdict == "" {
		return Line{}, false, errors.New("a decision without time, vm or verdict")
	}
	return l, true, nil
}
