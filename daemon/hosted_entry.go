package daemon

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/link"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/platform"
	"github.com/kingcupknot/kingcupknot/session"
)

// reservedDescriptors is the number of file descriptors kept for connections
// other than callers': to upstreams, to the system's processes and to the
// platform.
const reservedDescriptors = 700

// runEntry runs an entry until it stops.
func (h *hosted) runEntry(ctx context.Context, drain <-chan struct{}) error {
	entry := node.NewEntry(node.EntryOptions{
		VM: h.settings.VM, Site: h.settings.Site, Incarnation: uint64(time.Now().UnixNano()), Seed: randomUint64(),
		Timings: catalog.HostedTimings(h.settings.StopTimeout - h.settings.ListenerCloseDelay() - stopReserve), Control: h.settings.Seeds, UpstreamsFromControl: true,
		BalanceSites: h.options.BalanceSites,
	})
	h.loop = NewLoop(h.clock, entry.Step)
	pool := session.NewPool(h.poolOptions())
	h.createHub()
	channels := link.NewChannelPool(h.hub)
	commands := newCommandDispatcher(h.loop.Feed)
	commands.timeout = hostedCommandTimeout
	callers := session.NewServer(session.Options{
		Feed: h.loop.Feed, Now: h.clock.Now, Pool: pool, LogDecision: h.logDecision,
		AcquirePeer: func(vm catalog.VMID) (*session.PeerConn, error) { return h.openForwardStream(channels, vm) },
		MaxCallers:  max(h.settings.MaxFiles-reservedDescriptors, reservedDescriptors),
	})
	if err := h.servePeersAndMetrics(map[string]http.Handler{link.ChannelPath: h.hub.ChannelHandler(serveForwarded(callers))}, explainHandler(commands)); err != nil {
		return errors.Trace(err)
	}
	var ready, leaving atomic.Bool
	isReady := func() bool { return ready.Load() && !leaving.Load() }
	if err := h.listen(h.settings.ReadinessAddress, platform.ReadinessHandler(isReady), 0); err != nil {
		return errors.Trace(err)
	}
	listener, err := h.accept(ctx, h.settings.CallerAddress, func(c net.Conn) { callers.Serve(platform.NewCallerConn(c)) })
	if err != nil {
		return errors.Trace(err)
	}
	go h.loop.Run(ctx, func(e node.Effect) {
		switch v := e.(type) {
		case node.OpenConn:
			pool.Open(v)
		case node.CloseConn:
			pool.Close(v)
		case node.Probe:
			pool.Probe(v)
		case node.RunRequest:
			callers.Deliver(v.Request, v)
		case node.ForwardRequest:
			callers.Deliver(v.Request, v)
		case node.AnswerRequest:
			callers.Deliver(v.Request, v)
		case node.AnswerCommand:
			commands.deliver(v)
		case node.RoutesChanged:
			callers.SetRoutes(v)
			h.log.Info("A configuration is in force.", "part", "entry", "version", uint64(v.Version), "routes", len(v.Routes))
		case node.ReadinessChanged:
			ready.Store(v.Ready)
			callers.SetIsolated(v.ReleaseCallers)
			h.log.Info("The readiness changed.", "part", "entry", "ready", v.Ready, "release", v.ReleaseCallers, "cause", v.Reason)
		default:
			h.runCommonEffect(e)
		}
	})
	h.loop.Feed(node.TimerFired{})
	h.log.Info("The process runs as an entry.", "part", "daemon", "seeds", h.settings.Seeds)
	var stopBy time.Time
	return h.runUntilStopped(ctx, drain, func() {
		leaving.Store(true)
		stopBy = h.beginStop(ctx, listener, callers)
	}, func() {
		awaitIdle(ctx, time.Until(stopBy), callers.IsIdle)
	})
}

// beginStop begins a planned stop and returns the time by which it must end.
// The entry goes on accepting and serving new callers during
// ListenerCloseDelay, until the platform has seen that the entry is not ready.
func (h *hosted) beginStop(ctx context.Context, listener net.Listener, callers *session.Server) time.Time {
	startedAt := time.Now()
	callers.RejectForwards()
	pause(ctx, h.settings.ListenerCloseDelay())
	_ = listener.Close()
	callers.Drain(startedAt.Add(h.settings.StopTimeout / 2))
	return startedAt.Add(h.settings.StopTimeout - stopReserve)
}

// poolOptions returns the options for connections to the platform's upstreams.
func (h *hosted) poolOptions() session.PoolOptions {
	return session.PoolOptions{
		Feed: func(in node.Input) { h.loop.Feed(in) }, Now: h.clock.Now,
		Dial: platform.Dial, ParseStatus: platform.ParseStatus, Dialect: platform.Dialect(), Log: h.log,
	}
}

// logDecision records the outcome of a request in the log and in the metrics.
func (h *hosted) logDecision(d session.Decision) {
	h.metrics.ObserveDuration("request", d.Duration)
	if d.Verdict == session.VerdictUnknownKey {
		h.metrics.Count("organisation-unknown-key", 1)
	}
	pairs := []any{
		"part", "request", "request", d.Request, "database", d.Database,
		"service", string(d.Service), "statement", d.Verb.String(), "verdict", d.Verdict, "cause", d.Reason,
		"instance", string(d.Instance), "tries", d.Attempts, "floor", d.Floor, "version", uint64(d.Version),
		"epoch", uint64(d.Epoch), "lease-left-ms", d.LeaseLeft.Milliseconds(),
		"took-us", d.Duration.Microseconds(), "waited-us", d.WaitTime.Microseconds(),
	}
	if d.Organisation != "" {
		pairs = append(pairs, "organisation", string(d.Organisation))
	}
	if d.ForwardedFrom != "" {
		pairs = append(pairs, "from", string(d.ForwardedFrom))
	}
	if d.ForwardedTo != "" {
		pairs = append(pairs, "via", string(d.ForwardedTo))
	}
	h.log.Info("A request was decided.", pairs...)
}

// serveForwarded returns a handler for streams on which other entries of the
// site forward statements.
func serveForwarded(callers *session.Server) func(link.IncomingStream) {
	return func(q link.IncomingStream) {
		callers.ServeForwarded(q.From, func() (session.ForwardedRequest, error) {
			var f session.ForwardedRequest
			err := q.Receive(&f)
			if errors.Is(err, link.ErrUnreadable) {
				err = errors.WithType(err, session.ErrUnreadable)
			}
			return f, err
		}, func(r session.ForwardReply) error {
			err := q.Reply(r)
			if errors.Is(err, link.ErrTooLarge) {
				err = errors.WithType(err, session.ErrTooLarge)
			}
			return err
		})
	}
}

// openForwardStream opens a stream to another entry of the site. Calls on the
// stream return session.ErrNotSent in place of link.ErrNotSent.
func (h *hosted) openForwardStream(channels *link.ChannelPool, to catalog.VMID) (*session.PeerConn, error) {
	c, err := channels.Get(to)
	if err != nil {
		return nil, errors.Trace(err)
	}
	t := c.OpenStream()
	return &session.PeerConn{Peer: to, Release: t.Close, Exchange: func(f session.ForwardedRequest, deadline time.Time) (session.ForwardReply, error) {
		var r session.ForwardReply
		err := t.Call(f, &r, deadline)
		if errors.Is(err, link.ErrNotSent) {
			err = errors.WithType(err, session.ErrNotSent)
		}
		return r, errors.Trace(err)
	}}, nil
}
