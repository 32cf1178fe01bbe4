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
	operatorTime = 1500 * ms
	forwardTries = 4
	// answerLoss is the share of answers that operators never see, but in the
	// calm.
	answerLoss = 0.1
)

type (
	// intent is one change that an operator wants, sent until it is decided.
	intent struct {
		command node.Command
		code    node.ReplyCode
		version catalog.Version
		decided bool
		sends   int
	}
	// operators ask control VMs, several at once and with equal numbers.
	operators struct {
		w       *world
		intents []*intent
		// open holds what waits for a reducer's answer.
		open   map[uint64]*question
		number uint64
		// known is the highest version that any operator was told of.
		known catalog.Version
		// reported is the version in force at an entry, in which life, and
		// ever the highest over all lives.
		reported map[catalog.VMID]catalog.Version
		lives    map[catalog.VMID]uint64
		ever     map[catalog.VMID]catalog.Version
		// spoilIDs makes resends come under a new change id.
		spoilIDs bool
		loss     float64
	}
	question struct {
		at   *process
		life int
		then func(node.Reply)
	}
)

func newOperators(w *world) *operators {
	o := &operators{
		w: w, loss: answerLoss, open: map[uint64]*question{}, reported: map[catalog.VMID]catalog.Version{},
		lives: map[catalog.VMID]uint64{}, ever: map[catalog.VMID]catalog.Version{},
	}
	w.sent, w.replied = o.watch, o.replied
	return o
}

// watch follows the version in force at the entries.
func (o *operators) watch(p *process, m node.SendMessage) {
	r := m.Message.Report
	if r == nil {
		return
	}
	if o.lives[p.vm] == r.Incarnation && r.SettingsVersion < o.reported[p.vm] {
		o.w.fail("entry %s went back from version %d to %d", p.vm, o.reported[p.vm], r.SettingsVersion)
	}
	if r.SettingsVersion != 0 && r.SettingsVersion < o.ever[p.vm] {
		o.w.fail("entry %s has version %d in force and had %d before its restart", p.vm, r.SettingsVersion, o.ever[p.vm])
	}
	o.reported[p.vm], o.lives[p.vm] = r.SettingsVersion, r.Incarnation
	o.ever[p.vm] = max(o.ever[p.vm], r.SettingsVersion)
}

func (o *operators) replied(p *process, a node.AnswerCommand) {
	q := o.open[a.Number]
	if q == nil {
		o.w.fail("command %d was answered twice or never asked", a.Number)
		return
	}
	delete(o.open, a.Number)
	if o.w.rng.Float64() < o.loss {
		o.w.caused["lost answer"]++
		return
	}
	q.then(a.Reply)
}

// send asks a VM, which passes the command on to the leader if it has to.
func (o *operators) send(vm catalog.VMID, c node.Command, tries int, then func(node.Reply)) {
	w, p := o.w, o.w.byName[vm]
	done := false
	finish := func(r node.Reply) {
		if done {
			return
		}
		done = true
		if r.Code == node.ReplyNotLeader && r.Leader != "" && r.Leader != vm && tries > 0 {
			o.send(r.Leader, c, tries-1, then)
			return
		}
		then(r)
	}
	w.after(operatorTime, func() { finish(node.Reply{Code: node.ReplyUnknown}) })
	w.after(ms, func() {
		if p.dead {
			finish(node.Reply{Code: node.ReplyUnknown})
			return
		}
		o.number++
		o.open[o.number] = &question{at: p, life: p.life, then: func(r node.Reply) { w.after(ms, func() { finish(r) }) }}
		w.handle(p, p.life, node.CommandReceived{Number: o.number, Command: c})
	})
}

func (o *operators) anyControl() catalog.VMID {
	names := o.w.names('k')
	return names[o.w.rng.IntN(len(names))]
}

// race has some operators change something at once, all with the version they
// know of.
func (o *operators) race(operators int) {
	if o.known == 0 {
		o.send(o.anyControl(), node.Command{Settings: &node.SettingsQuery{}}, forwardTries, func(r node.Reply) {
			o.known = max(o.known, r.Version)
		})
		return
	}
	for range operators {
		n := len(o.intents) + 1
		i := &intent{command: node.Command{Change: catalog.ChangeID(fmt.Sprint("c", n)), IfVersion: o.known}}
		if n%3 == 0 {
			i.command.Drain = &node.DrainUpstream{Instance: "elsewhere", Off: n%2 == 0}
		} else {
			i.command.Create = &node.CreateService{Service: catalog.Service{
				ID: catalog.ServiceID(fmt.Sprint("service-", n)), Ack: o.w.ack, Instances: 3, Limits: o.w.limits,
			}}
		}
		o.intents = append(o.intents, i)
		o.pursue(i)
	}
}

// pursue sends a change until its answer is final.
func (o *operators) pursue(i *intent) {
	i.sends++
	o.send(o.anyControl(), i.command, forwardTries, func(r node.Reply) {
		switch r.Code {
		case node.ReplyUnknown, node.ReplyNotLeader:
			if o.spoilIDs {
				i.command.Change = catalog.ChangeID(fmt.Sprintf("%s-%d", strings.Split(string(i.command.Change), "-")[0], i.sends))
			}
			o.w.caused["resend"]++
			o.w.after(time.Duration(50+o.w.rng.IntN(200))*ms, func() { o.pursue(i) })
		default:
			i.code, i.version, i.decided = r.Code, r.Version, true
			o.known = max(o.known, r.Version)
		}
	})
}

// history asks until it gets the accepted changes, oldest last.
func (o *operators) history(then func([]node.Change)) {
	o.send(o.anyControl(), node.Command{History: &node.HistoryQuery{}}, forwardTries, func(r node.Reply) {
		if r.Code != node.ReplyOK {
			o.w.after(50*ms, func() { o.history(then) })
			return
		}
		then(r.History)
	})
}

// check judges the changes once all is calm.
func (o *operators) check() {
	w := o.w
	var accepted []node.Change
	found := false
	o.history(func(h []node.Change) { accepted, found = h, true })
	w.run(4 * time.Second)
	if !found {
		w.fail("no control VM answers in the calm")
		return
	}
	checkChanges(w, o.intents, accepted)
	for _, n := range slices.Sorted(maps.Keys(o.open)) {
		if q := o.open[n]; q.life == q.at.life && !q.at.dead && n+2 < o.number {
			w.fail("command %d got no answer", n)
		}
	}
}

// checkChanges compares what operators were told with the history.
func checkChanges(w *world, intents []*intent, accepted []node.Change) {
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
	for n, i := range intents {
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

// checkSpread wants a change in force at all entries within a second.
func (o *operators) checkSpread() {
	n := len(o.intents)
	o.race(1)
	o.w.run(2 * time.Second)
	if len(o.intents) == n || !o.intents[n].decided {
		o.w.fail("no change is accepted in the calm")
		return
	}
	o.w.run(time.Second)
	for _, vm := range o.w.names('e') {
		if v := o.reported[vm]; v < o.intents[n].version {
			o.w.fail("entry %s has version %d and not %d after a second of calm", vm, v, o.intents[n].version)
		}
	}
}
