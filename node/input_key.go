package node

import "github.com/kingcupknot/kingcupknot/catalog"

// InputKey identifies inputs of which only the newest matters: the reports of an
// entry, or the announcements of an upstream that other VMs relay. A queue holds the
// key in place of the input; no reducer gets one.
type InputKey struct {
	VM       catalog.VMID
	Instance catalog.InstanceID
}

func (InputKey) input() {}

// KeyOf returns the key of an input, and false if it has none and must be handled
// whatever follows it. Reports and announcements may be lost on their way, so that
// neither sender relies on one of them being handled. A leader that is late answers
// the newest report of each entry: answers to earlier ones would be too old to renew
// a lease, and the entries, which get no answer in time, send more reports than it
// can ever handle.
func KeyOf(in Input) (InputKey, bool) {
	m, ok := in.(MessageReceived)
	switch {
	case !ok:
		return InputKey{}, false
	case m.Message.Report != nil && m.Message.Report.Sequence != 0:
		return InputKey{VM: m.From}, true
	case m.Message.Announcement != nil:
		return InputKey{Instance: m.Message.Announcement.Instance}, true
	}
	return InputKey{}, false
}

// Supersedes reports whether an input is newer than an earlier one of the same key,
// which then need not be handled. Otherwise the later arrival need not be.
func Supersedes(next, earlier Input) bool {
	x, y := next.(MessageReceived).Message, earlier.(MessageReceived).Message
	if x.Report != nil {
		return x.Report.Incarnation != y.Report.Incarnation || x.Report.Sequence > y.Report.Sequence
	}
	return x.Announcement.Newer(*y.Announcement)
}
