package node_test

import (
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

const (
	operatorTimeout = 1500 * ms
	maxRedirects    = 4
	// answerLoss is the fraction of answers that operators do not receive while
	// faults are injected.
	answerLoss = 0.1
)

type (
	// requestedChange is a change that an operator sends until its outcome is
	// known.
	requestedChange struct {
		command node.Command
		code    node.ReplyCode
		version catalog.Version
		decided bool
		sends   int
	}
	// operators send commands to control VMs, several of them concurrently and
	// with the same IfVersion.
	operators struct {
		w       *simulation
		changes []*requestedChange
		// pending holds the commands that a reducer has not answered yet.
		pending map[uint64]*pendingCommand
		number  uint64
		// knownVersion is the highest version that any operator has received.
		knownVersion catalog.Version
		// reportedVersions holds the version in force at each entry, lives the
		// life that reported it, and highestVersions the highest version over
		// all lives.
		reportedVersions map[catalog.VMID]catalog.Version
		lives            map[catalog.VMID]uint64
		highestVersions  map[catalog.VMID]catalog.Version
		// newIDOnResend makes each resend use a new change id.
		newIDOnResend bool
		loss          float64
	}
	pendingCommand struct {
		process     *process
		incarnation int
		onReply     func(node.Reply)
	}
)

func newOperators(w *simulation) *operators {
	o := &operators{
		w: w, loss: answerLoss, pending: map[uint64]*pendingCommand{}, reportedVersions: map[catalog.VMID]catalog.Version{},
		lives: map[catalog.VMID]uint64{}, highestVersions: map[catalog.VMID]catalog.Version{},
	}
	w.onSend, w.onReply = o.trackReport, o.handleReply
	return o
}

// trackReport records the version in force at an entry and fails if it goes
// backwards.
func (o *operators) trackReport(p *process, m node.SendMessage) {
	r := m.Message.Report
	if r == nil {
		return
	}
	if o.lives[p.vm] == r.Incarnation && r.SettingsVersion < o.reportedVersions[p.vm] {
		o.w.fail("entry %s went back from version %d to %d", p.vm, o.reportedVersions[p.vm], r.SettingsVersion)
	}
	if r.SettingsVersion != 0 && r.SettingsVersion < o.highestVersions[p.vm] {
		o.w.fail("entry %s has version %d in force and had %d before its restart", p.vm, r.SettingsVersion, o.highestVersions[p.vm])
	}
	o.reportedVersions[p.vm], o.lives[p.vm] = r.SettingsVersion, r.Incarnation
	o.highestVersions[p.vm] = max(o.highestVersions[p.vm], r.SettingsVersion)
}

func (o *operators) handleReply(p *process, a node.AnswerCommand) {
	q := o.pending[a.Number]
	if q == nil {
		o.w.fail("command %d was answered twice or never asked", a.Number)
		return
	}
	delete(o.pending, a.Number)
	if o.w.rng.Float64() < o.loss {
		o.w.counts["lost answer"]++
		return
	}
	q.onReply(a.Reply)
}

// sendCommand sends a command to a VM and, if that VM is not the leader, to the
// leader that it names.
func (o *operators) sendCommand(vm catalog.VMID, c node.Command, redirects int, onReply func(node.Reply)) {
	w, p := o.w, o.w.byName[vm]
	done := false
	finish := func(r node.Reply) {
		if done {
			return
		}
		done = true
		if r.Code == node.ReplyNotLeader && r.Leader != "" && r.Leader != vm && redirects > 0 {
			o.sendCommand(r.Leader, c, redirects-1, onReply)
			return
		}
		onReply(r)
	}
	w.schedule(operatorTimeout, func() { finish(node.Reply{Code: node.ReplyUnknown}) })
	w.schedule(ms, func() {
		if p.dead {
			finish(node.Reply{Code: node.ReplyUnknown})
			return
		}
		o.number++
		o.pending[o.number] = &pendingCommand{process: p, incarnation: p.incarnation, onReply: func(r node.Reply) { w.schedule(ms, func() { finish(r) }) }}
		w.handle(p, p.incarnation, node.CommandReceived{Number: o.number, Command: c})
	})
}

func (o *operators) randomControl() catalog.VMID {
	names := o.w.names('k')
	return names[o.w.rng.IntN(len(names))]
}

// submitChanges makes several operators send a change concurrently, all based
// on the highest version that they know.
func (o *operators) submitChanges(operators int) {
	if o.knownVersion == 0 {
		o.sendCommand(o.randomControl(), node.Command{Settings: &node.SettingsQuery{}}, maxRedirects, func(r node.Reply) {
			o.knownVersion = max(o.knownVersion, r.Version)
		})
		return
	}
	for range operators {
		n := len(o.changes) + 1
		i := &requestedChange{command: node.Command{Change: catalog.ChangeID(fmt.Sprint("c", n)), IfVersion: o.knownVersion}}
		if n%3 == 0 {
			i.command.Drain = &node.DrainUpstream{Instance: "elsewhere", Off: n%2 == 0}
		} else {
			i.command.Create = &node.CreateService{Service: catalog.Service{
				ID: catalog.ServiceID(fmt.Sprint("service-", n)), Ack: o.w.ack, Instances: 3, Limits: o.w.limits,
			}}
		}
		o.changes = append(o.changes, i)
		o.submitUntilDecided(i)
	}
}

// submitUntilDecided resends a change until it gets a final answer.
func (o *operators) submitUntilDecided(i *requestedChange) {
	i.sends++
	o.sendCommand(o.randomControl(), i.command, maxRedirects, func(r node.Reply) {
		switch r.Code {
		case node.ReplyUnknown, node.ReplyNotLeader:
			if o.newIDOnResend {
				i.command.Change = catalog.ChangeID(fmt.Sprintf("%s-%d", strings.Split(string(i.command.Change), "-")[0], i.sends))
			}
			o.w.counts["resend"]++
			o.w.schedule(time.Duration(50+o.w.rng.IntN(200))*ms, func() { o.submitUntilDecided(i) })
		default:
			i.code, i.version, i.decided = r.Code, r.Version, true
			o.knownVersion = max(o.knownVersion, r.Version)
		}
	})
}

// fetchHistory retries until it gets the accepted changes, newest first.
func (o *operators) fetchHistory(then func([]node.Change)) {
	o.sendCommand(o.randomControl(), node.Command{History: &node.HistoryQuery{}}, maxRedirects, func(r node.Reply) {
		if r.Code != node.ReplyOK {
			o.w.schedule(50*ms, func() { o.fetchHistory(then) })
			return
		}
		then(r.History)
	})
}

// check verifies the answers and the history after all faults have ended.
func (o *operators) check() {
	w := o.w
	var accepted []node.Change
	found := false
	o.fetchHistory(func(h []node.Change) { accepted, found = h, true })
	w.run(4 * time.Second)
	if !found {
		w.fail("no control VM answers after the faults have ended")
		return
	}
	checkChanges(w, o.changes, accepted)
	for _, n := range slices.Sorted(maps.Keys(o.pending)) {
		if q := o.pending[n]; q.incarnation == q.process.incarnation && !q.process.dead && n+2 < o.number {
			w.fail("command %d got no answer", n)
		}
	}
}

// checkChanges compares the answers that operators received with the history.
func checkChanges(w *simulation, changes []*requestedChange, accepted []node.Change) {
	versions, count := map[string]catalog.Version{}, map[string]int{}
	for n, c := range accepted {
		if n > 0 && c.Version >= accepted[n-1].Version {
			w.fail("the history is out of order at version %d", c.Version)
		}
		name := strings.Split(string(c.Change), "-")[0]
		versions[name] = c.Version
		count[name]++
	}
	winners := map[catalog.Version]int{}
	for n, i := range changes {
		name := fmt.Sprint("c", n+1)
		switch {
		case !i.decided:
			w.fail("change %s was never decided", name)
		case count[name] > 1:
			w.fail("change %s is in the history %d times", name, count[name])
		case i.code == node.ReplyOK && count[name] == 0:
			w.fail("change %s was accepted and lost", name)
		case i.code == node.ReplyOK && versions[name] != i.version:
			w.fail("change %s was accepted as version %d and is version %d", name, i.version, versions[name])
		case i.code != node.ReplyOK && count[name] > 0:
			w.fail("change %s was refused as %s and is in the history", name, i.code)
		case i.code == node.ReplyOK && i.version != i.command.IfVersion+1:
			w.fail("change %s asked for version %d and got %d", name, i.command.IfVersion, i.version)
		}
		if i.decided && i.code == node.ReplyOK {
			winners[i.command.IfVersion]++
		}
	}
	for v, n := range winners {
		if n > 1 {
			w.fail("%d changes were accepted on top of version %d", n, v)
		}
	}
}

// checkPropagation verifies that a change is in force at all entries within a
// second.
func (o *operators) checkPropagation() {
	n := len(o.changes)
	o.submitChanges(1)
	o.w.run(2 * time.Second)
	if len(o.changes) == n || !o.changes[n].decided {
		o.w.fail("no change is accepted after the faults have ended")
		return
	}
	o.w.run(time.Second)
	for _, vm := range o.w.names('e') {
		if v := o.reportedVersions[vm]; v < o.changes[n].version {
			o.w.fail("entry %s has version %d and not %d one second after the change", vm, v, o.changes[n].version)
		}
	}
}
