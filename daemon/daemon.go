package daemon

import (
	"context"
	"net"
	"net/http"
	"strconv"
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

// Options configures a daemon.
type Options struct {
	Settings *settings.Settings
	VM       settings.VM
	// DataFolder holds the durable state of a control VM. Entries have no
	// durable state and ignore it.
	DataFolder string
	// Bootstrap makes a control VM with an empty data folder one of the initial
	// voters. It must be set only at the first start of a system.
	Bootstrap bool
}

// standalone is a daemon that runs as control or entry and is configured by the
// project's own settings file. It holds what both roles need.
type standalone struct {
	options Options
	clock   Clock
	loop    *Loop
	hub     *link.Hub
	log     logr.Logger
	metrics *telemetry.Metrics
	tracing *telemetry.Tracer
	// peerFailures bounds the log lines about peers.
	peerFailures telemetry.LineLimit
	process
}

// readHeaderTimeout bounds how long an HTTP client may take to send the headers
// of a request.
const readHeaderTimeout = 2 * time.Second

// Run runs the VM's role until it stops. Closing drain begins a planned stop;
// cancelling the context stops the daemon at once. Run returns an error if the
// daemon can't start, fails, or exceeds the time limit of a planned stop.
func Run(ctx context.Context, o Options, drain <-chan struct{}) error {
	s := &standalone{
		options: o,
		clock:   NewClock(),
		log:     telemetry.NewLogger(string(o.Settings.Log.Level)).WithValues("vm", string(o.VM.Name), "site", string(o.VM.Site)),
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

func (s *standalone) close() {
	s.closeServers()
	if s.hub != nil {
		s.hub.Close()
	}
	_ = s.metrics.Close()
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = s.tracing.Close(ctx)
}

func (s *standalone) listen(address string, h http.Handler) error {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return errors.Annotatef(err, "listen at %s", address)
	}
	s.serve(l, h)
	return nil
}

// servePeersAndAdmin creates the hub and listens on the peer and admin
// addresses.
func (s *standalone) servePeersAndAdmin(a *admin) error {
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
			if failures, ok := s.peerFailures.Allow(time.Now()); ok {
				telemetry.LogLine(s.log, true, "link", "Communication with a peer failed.", []string{"cause", err.Error(), "failures", strconv.Itoa(failures)})
			}
		},
	})
	mux := http.NewServeMux()
	mux.Handle(link.PeerPath, s.hub)
	if err := s.listen(s.options.VM.PeerAddress, mux); err != nil {
		return err
	}
	return s.listen(s.options.VM.AdminAddress, a.handler())
}

// runUntilStopped returns once the daemon has stopped. When drain is closed, it
// calls begin, asks the reducer to stop, and waits for at most timings.drain
// plus one second. It calls end after the reducer has stopped without an error.
func (s *standalone) runUntilStopped(ctx context.Context, drain <-chan struct{}, begin, end func()) error {
	return s.awaitStop(ctx, drain, s.options.Settings.Timings.DrainTimeout+time.Second, func() {
		telemetry.LogLine(s.log, false, "daemon", "A planned stop begins.", nil)
		begin()
		s.loop.Feed(node.DrainRequested{})
	}, end)
}

// runCommonEffect carries out an effect that the reducers of both roles return.
func (s *standalone) runCommonEffect(e node.Effect) {
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
		s.finish(nil)
	}
}

// otherVMs returns the VMs of a role, except this VM.
func (s *standalone) otherVMs(role settings.VMRole) []catalog.VMID {
	var out []catalog.VMID
	for _, v := range s.options.Settings.VMs {
		if v.Role == role && v.Name != s.options.VM.Name {
			out = append(out, v.Name)
		}
	}
	return out
}

// newForwarder returns a forwarder that tries the control VMs in the settings.
func (s *standalone) newForwarder() *forwarder {
	f := &forwarder{addresses: map[catalog.VMID]string{}}
	for _, v := range s.options.Settings.VMs {
		if v.Role == settings.RoleControl {
			f.addresses[v.Name] = v.AdminAddress
			f.vms = append(f.vms, v.Name)
		}
	}
	return f
}
