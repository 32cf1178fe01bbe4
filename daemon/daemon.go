package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/link"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/settings"
	"github.com/kingcupknot/kingcupknot/telemetry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// Options set up a daemon.
type Options struct {
	Settings *settings.Settings
	VM       settings.VM
	// DataFolder is the data folder of a control VM.
	DataFolder string
	// Bootstrap lets an empty data folder count as a first member. It is for
	// the first start of a system and no other.
	Bootstrap bool
}

// shared is what both roles need.
type shared struct {
	options Options
	clock   Clock
	loop    *Loop
	hub     *link.Hub
	log     logr.Logger
	metrics *telemetry.Metrics
	tracing *telemetry.Tracer
	process
}

// headerTime bounds how long a peer may take for its request's header.
const headerTime = 2 * time.Second

// Run runs the VM's role until it is stopped. Drain is closed to begin a
// planned stop; a cancelled context ends it at once.
func Run(ctx context.Context, o Options, drain <-chan struct{}) error {
	s := &shared{
		options: o,
		clock:   NewClock(),
		log:     telemetry.NewLogger(string(o.Settings.Log.Level)).WithValues("vm", string(o.VM.Name)),
		process: newProcess(),
	}
	s.metrics = telemetry.NewMetrics(nil)
	tracing, err := telemetry.NewTracer(o.Settings.Trace.File, string(o.VM.Name))
	if err != nil {
		return errors.Trace(err)
	}
	s.tracing = tracing
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer s.close()
	if o.VM.Role == settings.RoleControl {
		return errors.Trace(s.runControl(ctx, drain))
	}
	return errors.Trace(s.runEntry(ctx, drain))
}

func (s *shared) close() {
	s.closeServers()
	if s.hub != nil {
		s.hub.Close()
	}
	_ = s.metrics.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.tracing.Close(ctx)
}

func (s *shared) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotatef(err, "listen at %s", address)
	}
	s.serve(l, h)
	return nil
}

// connect serves the peer and admin addresses.
func (s *shared) connect(a *admin) error {
	peers := map[catalog.VMID]string{}
	for _, v := range s.options.Settings.VMs {
		peers[v.Name] = v.PeerAddress
	}
	s.hub = link.NewHub(link.Options{
		VM: s.options.VM.Name, Key: s.options.Settings.Security.SharedKey,
		Address: func(vm catalog.VMID) string { return peers[vm] },
		Receive: func(from catalog.VMID, m wire.Message) {
			s.loop.Feed(node.MessageReceived{From: from, Message: m})
		},
		OnError: func(err error) {
			s.metrics.Count("frames-refused", 1)
			telemetry.LogLine(s.log, true, "link", "Refused a peer.", []string{"cause", err.Error()})
		},
	})
	mux := http.NewServeMux()
	mux.Handle(link.PeerPath, s.hub)
	if err := s.listen(s.options.VM.PeerAddress, mux); err != nil {
		return err
	}
	return s.listen(s.options.VM.AdminAddress, a.handler())
}

// wait returns when the daemon is stopped. A drain asks the reducer to stop
// and gives it the time of the settings; begin runs before and end after that.
func (s *shared) wait(ctx context.Context, drain <-chan struct{}, begin, end func()) error {
	return s.await(ctx, drain, s.options.Settings.Timings.Drain+time.Second, func() {
		telemetry.LogLine(s.log, false, "daemon", "Stops, and lets work in progress end.", nil)
		begin()
		s.loop.Feed(node.DrainRequested{})
	}, end)
}

// runCommon carries out the effects that both roles have.
func (s *shared) runCommon(e node.Effect) {
	switch v := e.(type) {
	case node.SendMessage:
		s.hub.Send(v.To, v.Message)
	case node.Log:
		telemetry.LogLine(s.log, v.Level == node.LevelError, v.Part, v.Text, v.Pairs)
	case node.Count:
		s.metrics.Count(v.Name, v.Delta)
	case node.Span:
		s.metrics.ObserveDuration(v.Name, v.End.Sub(v.Start))
		s.tracing.Record(context.Background(), v.Name, s.clock.WallTime(v.Start), s.clock.WallTime(v.End), "service", string(v.Service))
	case node.Stopped:
		s.fail(nil)
	}
}

// vmsOf lists the names of the VMs of a role, but for the own one.
func (s *shared) vmsOf(role settings.VMRole) []catalog.VMID {
	var out []catalog.VMID
	for _, v := range s.options.Settings.VMs {
		if v.Role == role && v.Name != s.options.VM.Name {
			out = append(out, v.Name)
		}
	}
	return out
}

func (s *shared) newForwarder() *forwarder {
	f := &forwarder{control: map[catalog.VMID]string{}}
	for _, v := range s.options.Settings.VMs {
		if v.Role == settings.RoleControl {
			f.control[v.Name] = v.AdminAddress
			f.names = append(f.names, v.Name)
		}
	}
	return f
}
