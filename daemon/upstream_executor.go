package daemon

import (
	"context"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/telemetry"
	"github.com/kingcupknot/kingcupknot/upstream"
)

// followTimeout bounds the command that makes an upstream replicate from
// another primary.
const followTimeout = 2 * time.Second

// upstreamExecutor carries out the effects of the control reducer that concern
// upstreams: surveys, promotions and changes of the followed primary.
type upstreamExecutor struct {
	surveyor *upstream.Surveyor
	daemon   *standalone
}

func newUpstreamExecutor(s *standalone) *upstreamExecutor {
	c := s.options.Settings
	return &upstreamExecutor{daemon: s, surveyor: upstream.NewSurveyor(upstream.Options{
		Statements: c.Statements, User: c.Security.UpstreamUser, Password: c.Security.UpstreamPassword, Log: s.log,
	})}
}

// withDeadline returns a context that ends at an instant of the daemon's clock.
func (d *upstreamExecutor) withDeadline(ctx context.Context, at catalog.Instant) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, at.Sub(d.daemon.clock.Now()))
}

func (d *upstreamExecutor) survey(ctx context.Context, v node.Survey) {
	ctx, cancel := d.withDeadline(ctx, v.Deadline)
	defer cancel()
	status, evidence := d.surveyor.Survey(ctx, v.Service, v.Address)
	d.daemon.loop.Feed(node.SurveyDone{
		Survey: v.Survey, Instance: v.Instance, Evidence: evidence,
		Role: status.Role, Position: status.Position, Received: status.ReceivedOffset,
	})
}

func (d *upstreamExecutor) promote(ctx context.Context, v node.Promote) {
	ctx, cancel := d.withDeadline(ctx, v.Deadline)
	defer cancel()
	position, ok := d.surveyor.Promote(ctx, v.Service, v.Address, v.After)
	d.daemon.loop.Feed(node.PromoteDone{
		Service: v.Service, Instance: v.Instance, Epoch: v.Epoch, OK: ok, Position: position,
	})
}

func (d *upstreamExecutor) follow(ctx context.Context, v node.Follow) {
	ctx, cancel := context.WithTimeout(ctx, followTimeout)
	defer cancel()
	if err := d.surveyor.Follow(ctx, v.Service, v.Address, v.PrimaryAddress); err != nil {
		telemetry.LogLine(d.daemon.log, true, "failover", "An upstream did not follow the new primary.", []string{
			"instance", string(v.Instance), "cause", err.Error(),
		})
	}
}
