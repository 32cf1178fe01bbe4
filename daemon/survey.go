package daemon

import (
	"context"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/telemetry"
	"github.com/kingcupknot/kingcupknot/upstream"
)

// followTime bounds an order to follow another upstream.
const followTime = 2 * time.Second

// databases carries out what control asks of upstreams.
type databases struct {
	surveyor *upstream.Surveyor
	shared   *shared
}

func newDatabases(s *shared) *databases {
	c := s.options.Settings
	return &databases{shared: s, surveyor: upstream.NewSurveyor(upstream.Options{
		Statements: c.Statements, User: c.Security.UpstreamUser, Password: c.Security.UpstreamPassword, Log: s.log,
	})}
}

// within bounds a context by an instant of the own clock.
func (d *databases) within(ctx context.Context, at catalog.Instant) (context.Context, context.CancelFunc) {
	return context.WithTimeout(ctx, at.Sub(d.shared.clock.Now()))
}

func (d *databases) survey(ctx context.Context, v node.Survey) {
	ctx, cancel := d.within(ctx, v.Deadline)
	defer cancel()
	status, evidence := d.surveyor.Survey(ctx, v.Service, v.Address)
	d.shared.loop.Feed(node.SurveyDone{
		Survey: v.Survey, Instance: v.Instance, Evidence: evidence,
		Role: status.Role, Position: status.Position, Received: status.Received,
	})
}

func (d *databases) promote(ctx context.Context, v node.Promote) {
	ctx, cancel := d.within(ctx, v.Deadline)
	defer cancel()
	position, ok := d.surveyor.Promote(ctx, v.Service, v.Address, v.After)
	d.shared.loop.Feed(node.PromoteDone{
		Service: v.Service, Instance: v.Instance, Epoch: v.Epoch, OK: ok, Position: position,
	})
}

func (d *databases) follow(ctx context.Context, v node.Follow) {
	ctx, cancel := context.WithTimeout(ctx, followTime)
	defer cancel()
	if err := d.surveyor.Follow(ctx, v.Service, v.Address, v.PrimaryAddress); err != nil {
		telemetry.LogLine(d.shared.log, true, "failover", "An upstream does not follow.", []string{
			"instance", string(v.Instance), "cause", err.Error(),
		})
	}
}
