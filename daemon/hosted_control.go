package daemon

import (
	"context"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/platform"
	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/session"
	"github.com/kingcupknot/kingcupknot/wal"
	"github.com/kingcupknot/kingcupknot/wire"
)

const (
	// hostedCommandTime is how long a call may wait for agreement; callers of
	// the platform move on after a second.
	hostedCommandTime = 900 * time.Millisecond
	hostedSnapshot    = 256
	hostedSurvey      = 400 * time.Millisecond
	// promotePause is the time between two looks at an instance that is being
	// promoted.
	promotePause = 50 * time.Millisecond
)

// runControl runs a control VM.
func (h *hosted) runControl(ctx context.Context, drain <-chan struct{}) error {
	store, saved, err := openLog(h.settings.DataFolder, h.initialise)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = store.Close() }()
	control, err := node.NewControl(node.ControlOptions{
		VM: h.settings.VM, Timings: hostedTimings(h.settings), Members: h.settings.Seeds, ListsUpstreams: true,
		Voters: 2*h.settings.LossesBorne + 1, SurveyTime: hostedSurvey, PromoteTries: 1,
		Saved: saved, SnapshotAfter: hostedSnapshot, Seed: random(),
	}, h.clock.Now())
	if err != nil {
		return errors.Trace(err)
	}
	h.loop = NewLoop(h.clock, control.Step)
	disk := newWriter(store.StoreAll, h.loop.Feed, h.fail)
	ask := &promoter{hosted: h, surveyor: session.NewSurveyor(h.poolOptions()), client: platform.NewClient(h.settings)}
	defer ask.surveyor.Close()
	asked := newAsker(h.loop.Feed)
	asked.timeout = hostedCommandTime
	h.join()
	if err := h.connect(nil, h.questions(asked)); err != nil {
		return errors.Trace(err)
	}
	api := &platform.ControlAPI{Settings: h.settings, Ask: asked.ask, Log: h.log, Count: h.metrics.Count}
	if err := h.listen(h.settings.ControlAddress, api.Handler()); err != nil {
		return errors.Trace(err)
	}
	go disk.run(ctx)
	go h.loop.Run(ctx, func(e node.Effect) {
		switch v := e.(type) {
		case node.Persist:
			disk.queue <- v
		case node.Survey:
			go ask.survey(v)
		case node.Promote:
			go ask.promote(ctx, v)
		case node.Follow:
			// Upstreams of the platform follow by themselves.
		case node.OperatorAnswer:
			asked.answer(v)
		default:
			h.runCommon(e)
		}
	})
	h.loop.Feed(node.TimerFired{})
	h.log.Info("The process runs as control.", "part", "daemon", "seeds", h.settings.Seeds,
		"incarnation", uint64(saved.Self.Incarnation), "records", len(saved.Records), "snapshot", uint64(saved.Snapshot.Index))
	return h.wait(ctx, drain, func() {}, func() {})
}

// initialise fills an empty data folder. At the system's first start the seeds
// are its first members; any other VM asks them to join.
func (h *hosted) initialise(store *wal.Log) error {
	var members []quorum.Member
	isSeed := false
	for _, vm := range h.settings.Seeds {
		members = append(members, quorum.Member{VM: vm, Incarnation: firstIncarnation, Voter: true})
		isSeed = isSeed || vm == h.settings.VM
	}
	if h.settings.FirstStart && isSeed {
		h.log.Info("Starts as one of the first members.", "part", "daemon", "members", h.settings.Seeds)
		return errors.Trace(store.Init(quorum.Member{VM: h.settings.VM, Incarnation: firstIncarnation, Voter: true}, members))
	}
	self := quorum.Member{VM: h.settings.VM, Incarnation: catalog.Incarnation(random()>>1) + firstIncarnation + 1}
	h.log.Info("Starts as a new incarnation without a vote.", "part", "daemon", "incarnation", uint64(self.Incarnation))
	return errors.Trace(store.Init(self, nil))
}

// promoter carries out what control asks of upstreams and of the platform.
type promoter struct {
	hosted   *hosted
	surveyor *session.Surveyor
	client   *platform.Client
}

func (p *promoter) left(at catalog.Instant) time.Duration {
	return at.Sub(p.hosted.clock.Now())
}

func (p *promoter) survey(v node.Survey) {
	t := session.Target{Service: v.Service, Instance: v.Instance, Address: v.Address}
	status, evidence := p.surveyor.Survey(t, p.left(v.Deadline))
	p.hosted.loop.Feed(node.Surveyed{
		Survey: v.Survey, Instance: v.Instance, Evidence: evidence,
		Role: status.Role, Position: status.Position, Received: status.Received,
	})
}

// promote has the platform promote an instance and waits until it leads. Only a
// call that was answered rules out that an earlier one is carried out later.
func (p *promoter) promote(ctx context.Context, v node.Promote) {
	done := node.Promoted{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch}
	accepted, tries, cause := false, 0, ""
	for !accepted && p.left(v.Deadline) > 0 {
		tries++
		err := p.client.Promote(ctx, v)
		if err != nil {
			cause = err.Error()
		}
		if errors.Is(err, platform.ErrRefused) {
			break
		}
		accepted = err == nil
		if !accepted {
			time.Sleep(promotePause)
		}
	}
	for accepted && p.left(v.Deadline) > 0 {
		t := session.Target{Service: v.Service, Instance: v.Instance, Address: v.Address}
		status, evidence := p.surveyor.Survey(t, p.left(v.Deadline))
		if evidence == wire.EvidenceAlive && status.Role == catalog.RolePrimary {
			done.OK, done.Position = true, status.Position
			break
		}
		time.Sleep(promotePause)
	}
	p.hosted.log.Info("A promotion was asked for.", "part", "failover", "service", string(v.Service),
		"instance", string(v.Instance), "epoch", uint64(v.Epoch), "accepted", accepted, "tries", tries, "cause", cause,
		"leads", done.OK, "position", done.Position)
	p.hosted.loop.Feed(done)
}
