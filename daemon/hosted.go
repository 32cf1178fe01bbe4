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

// hosted is a process that runs on the users' platform as control or entry and
// is configured by the platform's settings file.
type hosted struct {
	path     string
	options  HostedOptions
	settings *platform.Settings
	clock    Clock
	loop     *Loop
	hub      *link.Hub
	lines    *telemetry.LineWriter
	log      logr.Logger
	metrics  *telemetry.Metrics
	// peerFailures bounds the log lines about peers.
	peerFailures telemetry.LineLimit
	process
}

// stopReserve is the part of the stop timeout that is left for the exit of the
// process after all work has ended.
const stopReserve = 500 * time.Millisecond

// HostedOptions configures a process on the users' platform.
type HostedOptions struct {
	// SettingsFile is the path of the platform's settings file.
	SettingsFile string
	// BalanceSites makes sites share scarce primaries by demand, and reads leave a
	// site that can't keep their objective.
	BalanceSites bool
}

// RunHosted runs the role that the platform's settings file gives this process,
// until it stops. Closing drain begins a planned stop; cancelling the
// context stops the process at once.
func RunHosted(ctx context.Context, o HostedOptions, drain <-chan struct{}) error {
	s, err := platform.LoadSettings(o.SettingsFile)
	if err != nil {
		return errors.Trace(err)
	}
	h := &hosted{path: o.SettingsFile, options: o, settings: s, clock: NewClock(), process: newProcess()}
	h.lines = telemetry.NewLineWriter(os.Stdout)
	defer h.lines.Close()
	h.log = telemetry.NewLineLogger(h.lines).WithValues("vm", s.Name, "site", string(s.Site))
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
		h.log.Error(err, "The process failed.", "part", "daemon")
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

// listen starts to serve HTTP at an address. Connections that no request has used
// for idle are closed, if that is not zero.
func (h *hosted) listen(address string, handler http.Handler, idle time.Duration) error {
	l, err := socket.ListenConfig().Listen(context.Background(), "tcp", address)
	if err != nil {
		return errors.Annotatef(err, "listen at %s", address)
	}
	h.serveWithIdleTimeout(l, handler, idle)
	return nil
}

// createHub creates the hub that exchanges messages with the system's other
// processes.
func (h *hosted) createHub() {
	h.hub = link.NewHub(link.Options{
		VM: h.settings.VM, Address: h.settings.PeerAddress,
		Receive: func(from catalog.VMID, m wire.Message) {
			h.loop.Feed(node.MessageReceived{From: from, Message: m})
		},
		OnError: func(err error) {
			h.metrics.Count("frames-refused", 1)
			if failures, ok := h.peerFailures.Allow(time.Now()); ok {
				h.log.Info("Communication with a peer failed.", "part", "link", "cause", err.Error(), "failures", failures)
			}
		},
	})
}

// servePeersAndMetrics listens on the peer address and on the metrics address.
// The peer address also serves peerHandlers, which holds handlers by path. The
// metrics address also serves queries, which handles operators' queries.
func (h *hosted) servePeersAndMetrics(peerHandlers map[string]http.Handler, queries http.Handler) error {
	peers := http.NewServeMux()
	peers.Handle(link.PeerPath, h.hub)
	for path, handler := range peerHandlers {
		peers.Handle(path, handler)
	}
	if err := h.listen(h.settings.PeerAddress(h.settings.VM), peers, 0); err != nil {
		return err
	}
	metrics := http.NewServeMux()
	metrics.Handle("GET /metrics", h.metrics.Handler())
	metrics.Handle("POST /v1/command", queries)
	return h.listen(h.settings.MetricsAddress(h.settings.VM), metrics, 0)
}

// accept listens at an address and calls serve for each connection, in a
// goroutine of its own, until the listener is closed.
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
				h.log.Error(err, "Accepting a caller's connection failed.", "part", "listener")
				time.Sleep(acceptRetryDelay)
				continue
			}
			go serve(c)
		}
	}()
	return l, nil
}

// acceptRetryDelay gives the process time to free file descriptors after Accept
// has failed for lack of them.
const acceptRetryDelay = 10 * time.Millisecond

// runCommonEffect carries out an effect that the reducers of both roles return.
func (h *hosted) runCommonEffect(e node.Effect) {
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
		h.finish(nil)
	}
}

// settingsPollInterval is the time between two checks of the settings file for
// changes, which the platform may make without sending SIGHUP.
const settingsPollInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and when the file's modification
// time has changed.
func (h *hosted) watchSettings(ctx context.Context) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	go func() {
		defer ticker.Stop()
		old := modificationTime(h.path)
		for {
			select {
			case <-ctx.Done():
				return
			case <-signals:
				h.reload()
			case <-ticker.C:
				if now := modificationTime(h.path); !now.Equal(old) {
					old = now
					h.reload()
				}
			}
		}
	}()
}

func modificationTime(path string) time.Time {
	i, err := os.Stat(path)
	if err != nil {
		// The zero time makes a later check see a change once the file is
		// present again.
		return time.Time{}
	}
	return i.ModTime()
}

// reload reads the settings file and applies the only setting that may change
// while the process runs: the seeds.
func (h *hosted) reload() {
	s, err := platform.LoadSettings(h.path)
	if err != nil {
		h.log.Error(err, "Reloading the settings failed.", "part", "daemon")
		return
	}
	h.log.Info("The settings were reloaded.", "part", "daemon", "seeds", s.Seeds)
	h.loop.Feed(node.SeedsChanged{Control: s.Seeds})
}

// runUntilStopped returns once the process has stopped. When drain is closed,
// it calls begin and asks the reducer to stop. It calls end after the reducer
// has stopped without an error.
func (h *hosted) runUntilStopped(ctx context.Context, drain <-chan struct{}, begin, end func()) error {
	h.watchSettings(ctx)
	timeout := h.settings.StopTimeout
	if h.settings.ControlAddress == "" {
		// At entries, begin takes ListenerCloseDelay of the stop timeout.
		timeout -= h.settings.ListenerCloseDelay()
	}
	return h.awaitStop(ctx, drain, timeout, func() {
		h.log.Info("A planned stop begins.", "part", "daemon")
		begin()
		h.loop.Feed(node.DrainRequested{})
	}, end)
}
