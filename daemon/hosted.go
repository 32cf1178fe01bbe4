package daemon

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/go-logr/logr"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/link"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/platform"
	"github.com/kingcupknot/kingcupknot/socket"
	"github.com/kingcupknot/kingcupknot/telemetry"
	"github.com/kingcupknot/kingcupknot/wire"
)

// hosted is a process on the users' platform, in either role.
type hosted struct {
	path     string
	settings *platform.Settings
	clock    Clock
	loop     *Loop
	hub      *link.Hub
	lines    *telemetry.LineWriter
	log      logr.Logger
	metrics  *telemetry.Metrics
	process
}

// hostedTimings fit sites a few milliseconds apart and VMs with part of a core,
// which may stand still for a tenth of a second.
func hostedTimings(s *platform.Settings) catalog.Timings {
	return catalog.Timings{
		ReportInterval: 200 * time.Millisecond,
		ProbeInterval:  300 * time.Millisecond,
		ProbeTimeout:   300 * time.Millisecond,
		Suspect:        600 * time.Millisecond,
		// A lease outlasts a change of the control leader: an election of twice
		// the shortest time, and a report that asks the others.
		LeaseLength: 650 * time.Millisecond,
		Drift:       50 * time.Millisecond,
		Announce:    4 * time.Second,
		// Three heartbeats, or a standstill, fit into an election.
		HeartbeatInterval: 60 * time.Millisecond,
		ElectionTimeout:   200 * time.Millisecond,
		Drain:             s.StopTimeout - s.ListenerCloseDelay() - stopReserve,
		// Upstreams bound their connections themselves, so that grants need
		// not end as fast as leases.
		GrantLength: 10 * time.Second,
	}
}

// stopReserve is what is left of the time for a stop once all work has ended.
const stopReserve = 500 * time.Millisecond

// RunHosted runs the role that the platform's settings file gives this process.
// Drain is closed to begin a planned stop.
func RunHosted(ctx context.Context, path string, drain <-chan struct{}) error {
	s, err := platform.LoadSettings(path)
	if err != nil {
		return errors.Trace(err)
	}
	h := &hosted{path: path, settings: s, clock: NewClock(), process: newProcess()}
	h.lines = telemetry.NewLineWriter(os.Stdout)
	defer h.lines.Close()
	h.log = telemetry.NewLineLogger(h.lines).WithValues("vm", s.Name)
	h.metrics = telemetry.NewMetrics(nil)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer h.close()
	if s.ControlAddress != "" {
		err = h.runControl(ctx, drain)
	} else {
		err = h.runEntry(ctx, drain)
	}
	if err != nil {
		h.log.Error(err, "The process fails.", "part", "daemon")
	} else {
		h.log.Info("The process stops.", "part", "daemon")
	}
	return errors.Trace(err)
}

func (h *hosted) close() {
	h.closeServers()
	if h.hub != nil {
		h.hub.Close()
	}
	_ = h.metrics.Close()
}

// listen serves HTTP at an address.
func (h *hosted) listen(address string, handler http.Handler) error {
	l, err := socket.ListenConfig().Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Annotatef(err, "listen at %s", address)
	}
	h.serve(l, handler)
	return nil
}

// join makes the way to the other processes of the system.
func (h *hosted) join() {
	h.hub = link.NewHub(link.Options{
		VM: h.settings.VM, Address: h.settings.PeerAddress,
		Receive: func(from catalog.VMID, m wire.Message) {
			h.loop.Feed(node.MessageReceived{From: from, Message: m})
		},
		OnError: func(err error) {
			h.metrics.Count("frames-refused", 1)
			h.log.Info("A peer's message was refused.", "part", "link", "cause", err.Error())
		},
	})
}

// connect serves the other processes of the system, and scrapes. More are
// further handlers for processes of the system, by path; questions, if any, is
// the handler of operators' questions.
func (h *hosted) connect(more map[string]http.Handler, questions http.Handler) error {
	peers := http.NewServeMux()
	peers.Handle(link.PeerPath, h.hub)
	for path, handler := range more {
		peers.Handle(path, handler)
	}
	if err := h.listen(h.settings.PeerAddress(h.settings.VM), peers); err != nil {
		return err
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", h.metrics.Handler())
	if questions != nil {
		metrics.Handle("POST /v1/command", questions)
	}
	return h.listen(h.settings.MetricsAddress(h.settings.VM), metrics)
}

// accept hands the connections at an address to serve.
func (h *hosted) accept(ctx context.Context, address string, serve func(net.Conn)) (net.Listener, error) {
	l, err := socket.ListenConfig().Listen(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Annotatef(err, "listen at %s", address)
	}
	go func() {
		for {
			c, err := l.Accept()
			if errors.Is(err, net.ErrClosed) {
				return
			}
			if err != nil {
				h.log.Error(err, "A caller was not accepted.", "part", "listener")
				time.Sleep(acceptPause)
				continue
			}
			go serve(c)
		}
	}()
	return l, nil
}

// acceptPause lets descriptors come free when there were none left.
const acceptPause = 10 * time.Millisecond

// runCommon carries out the effects that both roles have.
func (h *hosted) runCommon(e node.Effect) {
	switch v := e.(type) {
	case node.SendMessage:
		h.hub.Send(v.To, v.Message)
	case node.Log:
		telemetry.LogLine(h.log, v.Level == node.LevelError, v.Part, v.Text, v.Pairs)
	case node.Count:
		h.metrics.Count(v.Name, v.Delta)
	case node.Span:
		h.metrics.ObserveDuration(v.Name, v.End.Sub(v.Start))
	case node.Stopped:
		h.fail(nil)
	}
}

// reloadEvery is the time between two looks at the settings file, which may
// change without a signal.
const reloadEvery = 2 * time.Second

// watchSettings reads the settings again at SIGHUP and every now and then.
func (h *hosted) watchSettings(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(reloadEvery)
	go func() {
		defer ticker.Stop()
		old := fileTime(h.path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				h.reload()
			case <-ticker.C:
				if now := fileTime(h.path); !now.Equal(old) {
					old = now
					h.reload()
				}
			}
		}
	}()
}

func fileTime(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		// The file is read at the next change.
		return time.Time{}
	}
	return i.ModTime()
}

// reload takes over what may change while the process runs: the seeds.
func (h *hosted) reload() {
	s, err := platform.LoadSettings(h.path)
	if err != nil {
		h.log.Error(err, "The settings are not taken over.", "part", "daemon")
		return
	}
	h.log.Info("The settings were read again.", "part", "daemon", "seeds", s.Seeds)
	h.loop.Feed(node.SeedsChanged{Control: s.Seeds})
}

// wait returns when the process is stopped. Begin runs before the reducer is
// asked to stop, end after it has.
func (h *hosted) wait(ctx context.Context, drain <-chan struct{}, begin, end func()) error {
	h.watchSettings(ctx)
	most := h.settings.StopTimeout
	if h.settings.ControlAddress == "" {
		most -= h.settings.ListenerCloseDelay()
	}
	return h.await(ctx, drain, most, func() {
		h.log.Info("A planned stop begins.", "part", "daemon")
		begin()
		h.loop.Feed(node.DrainRequested{})
	}, end)
}
