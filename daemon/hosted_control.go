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
	// hostedCommandTimeout bounds how long an HTTP call waits for a majority.
	// Clients of the platform give up after a second.
	hostedCommandTimeout = 900 * time.Millisecond
	// hostedSnapshotAfter is the number of log records between snapshots.
	hostedSnapshotAfter = 256
	// hostedSnapshotAfterBytes bounds the log in memory where configurations are
	// large: 256 of 3,152 routes have 79 MB.
	hostedSnapshotAfterBytes = 1 << 20
	// hostedSurveyTimeout bounds one survey of an upstream.
	hostedSurveyTimeout = 400 * time.Millisecond
	// controlIdleTimeout is how long a connection to the API may be unused. It is
	// longer than three heartbeats of an upstream, which uses its connection every
	// 1.2 s. Without a limit a control VM of nine kept connections of 2,000 of 3,600
	// upstreams, which had gone on to the next control VM.
	controlIdleTimeout = 4 * time.Second
	// promotePollInterval is the time between two calls to the platform, and
	// between two surveys of the instance that is being promoted.
	promotePollInterval = 50 * time.Millisecond
)

// runControl runs a control VM until it stops.
func (h *hosted) runControl(ctx context.Context, drain <-chan struct{}) error {
	store, saved, err := openLog(h.settings.DataFolder, h.initialise)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = store.Close() }()
	control, err := node.NewControl(node.ControlOptions{
		VM: h.settings.VM, Timings: catalog.HostedTimings(h.settings.StopTimeout - h.settings.ListenerCloseDelay() - stopReserve), Members: h.settings.Seeds, DistributesUpstreams: true,
		Voters: 2*h.settings.FaultTolerance + 1, SurveyTimeout: hostedSurveyTimeout, PromoteAttempts: 1,
		BalanceSites: h.options.BalanceSites, Saved: saved, SnapshotAfter: hostedSnapshotAfter,
		SnapshotAfterBytes: hostedSnapshotAfterBytes, Seed: randomUint64(),
	}, h.clock.Now())
	if err != nil {
		return errors.Trace(err)
	}
	h.loop = NewLoop(h.clock, control.Step)
	storage := newBatchWriter(store.StoreAll, h.loop.Feed, h.finish)
	upstreams := &hostedUpstreamExecutor{hosted: h, surveyor: session.NewSurveyor(h.poolOptions()), client: platform.NewClient(h.settings)}
	defer upstreams.surveyor.Close()
	commands := newCommandDispatcher(h.loop.Feed)
	commands.timeout = hostedCommandTimeout
	h.createHub()
	if err := h.servePeersAndMetrics(nil, h.queryHandler(commands)); err != nil {
		return errors.Trace(err)
	}
	api := &platform.ControlAPI{Settings: h.settings, Execute: commands.execute, Log: h.log, Count: h.metrics.Count}
	if err := h.listen(h.settings.ControlAddress, api.Handler(), controlIdleTimeout); err != nil {
		return errors.Trace(err)
	}
	go storage.run(ctx)
	go h.loop.Run(ctx, func(e node.Effect) {
		switch v := e.(type) {
		case node.Persist:
			storage.queue <- v
		case node.Survey:
			go upstreams.survey(v)
		case node.Promote:
			upstreams.startPromotion(ctx, v)
		case node.CancelPromotions:
			upstreams.cancelPromotions()
		case node.Follow:
			// The platform's upstreams follow a new primary by themselves.
		case node.AnswerCommand:
			commands.deliver(v)
		default:
			h.runCommonEffect(e)
		}
	})
	h.loop.Feed(node.TimerFired{})
	h.log.Info("The process runs as a control VM.", "part", "daemon", "seeds", h.settings.Seeds,
		"incarnation", uint64(saved.Self.Incarnation), "records", len(saved.Records), "snapshot", uint64(saved.Snapshot.Index))
	return h.runUntilStopped(ctx, drain, func() {}, func() {})
}

// initialise writes the first state to an empty data folder. At the first start
// of the system, the seeds become its initial voters. Any other VM starts
// without a vote and asks the members to let it join.
func (h *hosted) initialise(store *wal.Log) error {
	var members []quorum.Member
	isSeed := false
	for _, vm := range h.settings.Seeds {
		members = append(members, quorum.Member{VM: vm, Incarnation: bootstrapIncarnation, Voter: true})
		isSeed = isSeed || vm == h.settings.VM
	}
	if h.settings.Bootstrap && isSeed {
		h.log.Info("Starts as an initial voter.", "part", "daemon", "members", h.settings.Seeds)
		return errors.Trace(store.Init(quorum.Member{VM: h.settings.VM, Incarnation: bootstrapIncarnation, Voter: true}, members))
	}
	self := quorum.Member{VM: h.settings.VM, Incarnation: catalog.Incarnation(randomUint64()>>1) + bootstrapIncarnation + 1}
	h.log.Info("Starts as a new incarnation without a vote.", "part", "daemon", "incarnation", uint64(self.Incarnation))
	return errors.Trace(store.Init(self, nil))
}

// hostedUpstreamExecutor carries out the effects of the control reducer that
// concern upstreams: surveys, and promotions through the platform.
type hostedUpstreamExecutor struct {
	hosted   *hosted
	surveyor *session.Surveyor
	client   *platform.Client
	// leading ends when this VM loses the lead. cancel ends it and is nil before
	// the first promotion since then. Only the goroutine of the loop uses them.
	leading context.Context
	cancel  context.CancelFunc
}

// startPromotion starts a promotion that ends early if this VM loses the lead.
// Its calls must not follow those of the next leader.
func (p *hostedUpstreamExecutor) startPromotion(ctx context.Context, v node.Promote) {
	if p.cancel == nil {
		p.leading, p.cancel = context.WithCancel(ctx)
	}
	go p.promote(p.leading, v)
}

func (p *hostedUpstreamExecutor) cancelPromotions() {
	if p.cancel != nil {
		p.cancel()
		p.cancel = nil
	}
}

// remaining returns the time until an instant of the process's clock.
func (p *hostedUpstreamExecutor) remaining(at catalog.Instant) time.Duration {
	return at.Sub(p.hosted.clock.Now())
}

func (p *hostedUpstreamExecutor) survey(v node.Survey) {
	t := session.Target{Service: v.Service, Instance: v.Instance, Address: v.Address}
	status, evidence := p.surveyor.Survey(t, p.remaining(v.Deadline))
	p.hosted.loop.Feed(node.SurveyDone{
		Survey: v.Survey, Instance: v.Instance, Evidence: evidence,
		Role: status.Role, Position: status.Position, Received: status.Received,
	})
}

// promote asks the platform to promote an instance and waits until the instance
// is the primary. It repeats the call until the platform accepts or refuses it,
// because only an answered call rules out that an earlier one is carried out
// later.
func (p *hostedUpstreamExecutor) promote(ctx context.Context, v node.Promote) {
	ctx, cancel := context.WithTimeout(ctx, p.remaining(v.Deadline))
	defer cancel()
	result := node.PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch}
	accepted, attempts, cause := false, 0, ""
	for !accepted && ctx.Err() == nil {
		attempts++
		err := p.client.Promote(ctx, v)
		if err != nil {
			cause = err.Error()
		}
		if errors.Is(err, platform.ErrPromotionRefused) {
			break
		}
		accepted = err == nil
		if !accepted {
			time.Sleep(promotePollInterval)
		}
	}
	for accepted && ctx.Err() == nil {
		t := session.Target{Service: v.Service, Instance: v.Instance, Address: v.Address}
		status, evidence := p.surveyor.Survey(t, p.remaining(v.Deadline))
		if evidence == wire.EvidenceAlive && status.Role == catalog.RolePrimary {
			result.OK, result.Position = true, status.Position
			break
		}
		time.Sleep(promotePollInterval)
	}
	p.hosted.log.Info("A promotion was asked for.", "part", "failover", "service", string(v.Service),
		"instance", string(v.Instance), "epoch", uint64(v.Epoch), "accepted", accepted, "tries", attempts, "cause", cause,
		"leads", result.OK, "position", result.Position)
	p.hosted.loop.Feed(result)
}
