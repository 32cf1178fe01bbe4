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

// firstIncarnation is that of the members a system starts with.
const firstIncarnation catalog.Incarnation = 1

// runControl runs a control VM.
func (s *shared) runControl(ctx context.Context, drain <-chan struct{}) error {
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
	disk := newWriter(store.StoreAll, s.loop.Feed, s.fail)
	ask := newDatabases(s)
	defer ask.surveyor.Close()
	asked := newAsker(s.loop.Feed)
	to := s.newForwarder()
	a := &admin{
		feed: s.loop.Feed, metrics: s.metrics.Handler(), ready: func() bool { return true },
		ask:     askHere(asked, to),
		askOnly: asked.ask, tokenKey: s.options.Settings.Security.TokenKey,
	}
	if err := s.connect(a); err != nil {
		return errors.Trace(err)
	}
	go disk.run(ctx)
	go s.loop.Run(ctx, func(e node.Effect) {
		switch v := e.(type) {
		case node.Persist:
			disk.queue <- v
		case node.Survey:
			go ask.survey(ctx, v)
		case node.Promote:
			go ask.promote(ctx, v)
		case node.Follow:
			go ask.follow(ctx, v)
		case node.AnswerCommand:
			asked.answer(v)
		default:
			s.runCommon(e)
		}
	})
	telemetry.LogLine(s.log, false, "daemon", "Runs as control.", nil)
	return s.wait(ctx, drain, func() {}, func() {})
}

// askHere answers a command from the own reducer, or passes it to the leader.
func askHere(asked *asker, to *forwarder) func(node.Command) (node.Reply, bool) {
	return func(c node.Command) (node.Reply, bool) {
		r := asked.ask(c)
		if r.Code != node.ReplyNotLeader {
			return r, true
		}
		return to.ask(c, r.Leader)
	}
}

func (s *shared) controlOptions(saved quorum.PersistentState) node.ControlOptions {
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
		SnapshotAfter: s.options.Settings.Control.SnapshotAfter, Seed: random(),
	}
}

// openLog opens the data folder. An empty one starts a member of a new system
// if that was asked for, and else a new incarnation without a vote.
func (s *shared) openLog() (*wal.Log, quorum.PersistentState, error) {
	if s.options.DataFolder == "" {
		return nil, quorum.PersistentState{}, errors.New("a control VM needs a data folder; give --data")
	}
	return openLog(s.options.DataFolder, s.initialise)
}

func (s *shared) initialise(store *wal.Log) error {
	if !s.options.Bootstrap {
		self := quorum.Member{VM: s.options.VM.Name, Incarnation: catalog.Incarnation(random()>>1) + firstIncarnation + 1}
		telemetry.LogLine(s.log, false, "daemon", "Starts as a new incarnation without a vote.", nil)
		return errors.Trace(store.Init(self, nil))
	}
	self := quorum.Member{VM: s.options.VM.Name, Incarnation: firstIncarnation, Voter: true}
	var members []quorum.Member
	for _, m := range s.options.Settings.Control.Members {
		members = append(members, quorum.Member{VM: m.VM, Incarnation: firstIncarnation, Voter: true})
	}
	return errors.Trace(store.Init(self, members))
}

// random draws a seed.
func random() uint64 {
	var b [8]byte
	if _, err := rand.Read(b[:]); err != nil {
		panic(err)
	}
	return binary.LittleEndian.Uint64(b[:])
}
