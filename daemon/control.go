package daemon

import (
	"context"
	"crypto/rand"
	"encoding/binary"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/settings"
	"github.com/kingcupknot/kingcupknot/telemetry"
	"github.com/kingcupknot/kingcupknot/wal"
)

// bootstrapIncarnation is the incarnation of the members with which a system
// starts for the first time.
const bootstrapIncarnation catalog.Incarnation = 1

// runControl runs a control VM until it stops.
func (s *standalone) runControl(ctx context.Context, drain <-chan struct{}) error {
	store, saved, err := s.openLog()
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = store.Close() }()
	control, err := node.NewControl(s.controlOptions(saved), s.clock.Now())
	if err != nil {
		return errors.Trace(err)
	}
	s.loop = NewLoop(s.clock, control.Step)
	storage := newBatchWriter(store.StoreAll, s.loop.Feed, s.finish)
	upstreams := newUpstreamExecutor(s)
	defer upstreams.surveyor.Close()
	commands := newCommandDispatcher(s.loop.Feed)
	forwarder := s.newForwarder()
	a := &admin{
		feed: s.loop.Feed, metrics: s.metrics.Handler(), ready: func() bool { return true },
		execute:        executeOrForward(commands, forwarder),
		executeLocally: commands.execute, tokenKey: s.options.Settings.Security.TokenKey,
	}
	if err := s.servePeersAndAdmin(a); err != nil {
		return errors.Trace(err)
	}
	go storage.run(ctx)
	go s.loop.Run(ctx, func(e node.Effect) {
		switch v := e.(type) {
		case node.Persist:
			storage.queue <- v
		case node.Survey:
			go upstreams.survey(ctx, v)
		case node.Promote:
			go upstreams.promote(ctx, v)
		case node.Follow:
			go upstreams.follow(ctx, v)
		case node.AnswerCommand:
			commands.deliver(v)
		default:
			s.runCommonEffect(e)
		}
	})
	telemetry.LogLine(s.log, false, "daemon", "Runs as a control VM.", nil)
	return s.runUntilStopped(ctx, drain, func() {}, func() {})
}

// executeOrForward returns a function that executes a command at this VM and,
// if this VM is not the leader, forwards it to the leader.
func executeOrForward(commands *commandDispatcher, f *forwarder) func(node.Command) (node.Reply, bool) {
	return func(c node.Command) (node.Reply, bool) {
		r := commands.execute(c)
		if r.Code != node.ReplyNotLeader {
			return r, true
		}
		return f.forward(c, r.Leader)
	}
}

func (s *standalone) controlOptions(saved quorum.PersistentState) node.ControlOptions {
	entries := map[catalog.VMID]catalog.SiteID{}
	var members []catalog.VMID
	for _, v := range s.options.Settings.VMs {
		if v.Role == settings.RoleEntry {
			entries[v.Name] = v.Site
		}
	}
	for _, m := range s.options.Settings.Control.Members {
		members = append(members, m.VM)
	}
	return node.ControlOptions{
		VM: s.options.VM.Name, Timings: s.options.Settings.Timings, Members: members, Entries: entries,
		Services: s.options.Settings.Services, Saved: saved,
		SnapshotAfter: s.options.Settings.Control.SnapshotAfter, Seed: randomUint64(),
	}
}

// openLog opens the log in the data folder. With an empty folder, the VM starts
// as a voter of a new system if Bootstrap is set, and otherwise as a new
// incarnation without a vote.
func (s *standalone) openLog() (*wal.Log, quorum.PersistentState, error) {
	if s.options.DataFolder == "" {
		return nil, quorum.PersistentState{}, errors.New("a control VM needs a data folder; give --data")
	}
	return openLog(s.options.DataFolder, s.initialise)
}

func (s *standalone) initialise(store *wal.Log) error {
	if !s.options.Bootstrap {
		self := quorum.Member{VM: s.options.VM.Name, Incarnation: catalog.Incarnation(randomUint64()>>1) + bootstrapIncarnation + 1}
		telemetry.LogLine(s.log, false, "daemon", "Starts as a new incarnation without a vote.", nil)
		return errors.Trace(store.Init(self, nil))
	}
	self := quorum.Member{VM: s.options.VM.Name, Incarnation: bootstrapIncarnation, Voter: true}
	var members []quorum.Member
	for _, m := range s.options.Settings.Control.Members {
		members = append(members, quorum.Member{VM: m.VM, Incarnation: bootstrapIncarnation, Voter: true})
	}
	return errors.Trace(store.Init(self, members))
}

// randomUint64 returns a cryptographically random number. It panics if the
// system has no source of random numbers.
func randomUint64() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:])
}
