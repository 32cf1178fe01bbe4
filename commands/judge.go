package commands

import (
	"fmt"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// judge turns a reply that is not a success into a failure with advice.
func judge(c node.Command, r node.Reply) *Failure {
	f := &Failure{Exit: ExitFailed, Text: orText(r.Text, "refused as "+string(r.Code)), ChangeID: c.Change}
	switch r.Code {
	case node.ReplyOK:
		return nil
	case node.ReplyConflict:
		f.Exit = ExitConflict
		if r.Winner != "" {
			f.Text += fmt.Sprintf(" (change %s was first)", r.Winner)
		}
		f.Next = fmt.Sprintf("look at kingcupknot config history; if your change still fits,"+
			" repeat it with --if-version %d and without this change id", r.Version)
	case node.ReplyNotFound:
		f.Exit = ExitNotFound
		f.Next = "see what there is with kingcupknot status"
	case node.ReplyInvalid:
		f.Next = "correct the command and repeat it; nothing was changed"
	case node.ReplyUnknown:
		return unknown(c.Change, f.Text)
	}
	return f
}

func unknown(id catalog.ChangeID, text string) *Failure {
	return &Failure{
		Exit: ExitUnknown, Text: "the outcome is unknown: " + text, ChangeID: id,
		Next: fmt.Sprintf("repeat the same command with --change-id %s;"+
			" it tells the outcome and changes nothing twice", id),
	}
}

func orText(text, other string) string {
	if text == "" {
		return other
	}
	return text
}
