package commands

import "github.com/kingcupknot/kingcupknot/catalog"

// ExitCode is the exit code of a command's process. The numbers are stable, and
// scripts may rely on them.
type ExitCode int

// Exit codes.
const (
	ExitOK ExitCode = 0
	// ExitFailed means that the system rejected the command, or that settings
	// have findings. It is also the code of all other errors.
	ExitFailed ExitCode = 1
	// ExitUsage means that the command line is invalid. Nothing was sent.
	ExitUsage ExitCode = 2
	// ExitConflict means that a concurrent change was accepted first.
	ExitConflict ExitCode = 3
	// ExitNotFound means that an object that the command names doesn't exist.
	ExitNotFound ExitCode = 4
	// ExitUnreachable means that no VM accepted the command. Nothing was
	// changed.
	ExitUnreachable ExitCode = 5
	// ExitUnknown means that the change may or may not have been accepted.
	ExitUnknown ExitCode = 6
)

// Failure is the error of a command, with advice for the operator.
type Failure struct {
	Exit ExitCode `json:"exit-code"`
	Text string   `json:"text"`
	// Next is the advice: what the operator can do next.
	Next string `json:"next,omitempty"`
	// ChangeID is the change id to use for a resend.
	ChangeID catalog.ChangeID `json:"change-id,omitempty"`
}

// Error returns Text.
func (f *Failure) Error() string {
	return f.Text
}

func usageError(text string) *Failure {
	return &Failure{Exit: ExitUsage, Text: text, Next: "see kingcupknot --help"}
}

// errPrinted is returned if the error has already been printed. Only its exit
// code is used.
var errPrinted = &Failure{Exit: ExitFailed}
