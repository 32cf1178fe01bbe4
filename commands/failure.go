package commands

import "github.com/kingcupknot/kingcupknot/catalog"

// ExitCode is what a command's process returns. Scripts may rely on the
// numbers.
type ExitCode int

// Exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailed means that the command was understood and refused, or that
	// settings have findings.
	ExitFailed ExitCode = 1
	// ExitUsage means that the command line is wrong; nothing was sent.
	ExitUsage ExitCode = 2
	// ExitConflict means that another change got there first.
	ExitConflict ExitCode = 3
	// ExitNotFound means that what the command names does not exist.
	ExitNotFound ExitCode = 4
	// ExitUnreachable means that no VM took the command; nothing changed.
	ExitUnreachable ExitCode = 5
	// ExitUnknown means that the change may or may not have been accepted.
	ExitUnknown ExitCode = 6
)

// Failure is why a command failed and what the operator can do about it.
type Failure struct {
	Exit ExitCode `json:"exit-code"`
	Text string   `json:"text"`
	// Next says what to do.
	Next string `json:"next,omitempty"`
	// Change is set if a resend needs the same change id.
	ChangeID catalog.ChangeID `json:"change-id,omitempty"`
}

// Error returns the text without the advice.
func (f *Failure) Error() string {
	return f.Text
}

func usage(text string) *Failure {
	return &Failure{Exit: ExitUsage, Text: text, Next: "see kingcupknot --help"}
}

// errShown stands for a failure that was already printed.
var errShown = &Failure{Exit: ExitFailed}
