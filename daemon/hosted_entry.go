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

// filesReserved are the descriptors that are not for callers: upstream
// connections, the system's own and the platform's.
const filesReserved = 700

// runEntry runs an entry.
func (h *hosted) runEntry(ctx context.Context, drain <-chan struct{}) error {
	entry := node.NewEntry(node.EntryOptions{
		VM: h.settings.VM, Site: h.settings.Site, Incarnation: uint64(time.Now().UnixNano()), Seed: random(),
		Timings: hostedTimings(h.settings), Control: h.settings.Seeds, UpstreamsFromControl: true,
	})
	h.loop = NewLoop(h.clock, entry.Step)
	pool := session.NewPool(h.poolOptions())
	h.join()
	channels := link.NewChannelPool(h.hub)
	callers := session.NewServer(session.Options{
		Feed: h.loop.Feed, Now: h.clock.Now, Pool: pool, LogDecision: h.decided,
		AcquirePeer: func(to catalog.VMID) (*session.PeerConn, error) { return h.way(channels, to) },
		MaxCallers:  max(h.settings.MaxFiles-filesReserved, filesReserved),
	})
	if err := h.connect(map[string]http.Handler{link.ChannelPath: h.hub.ChannelHandler(serveForwarded(callers))}, nil); err != nil {
		return errors.Trace(err)
	}
	var ready, leaving atomic.Bool
	isReady := func() bool { return ready.Load() && !leaving.Load() }
	if err := h.listen(h.settings.ReadinessAddress, platform.ReadinessHandler(isReady)); err != nil {
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
		case node.RoutesChanged:
			callers.SetRoutes(v)
			h.log.Info("A configuration is in force.", "part", "entry", "version", uint64(v.Version), "routes", len(v.Routes))
		case node.ReadinessChanged:
			ready.Store(v.Ready)
			callers.SetIsolated(v.ReleaseCallers)
			h.log.Info("The readiness changed.", "part", "entry", "ready", v.Ready, "release", v.ReleaseCallers, "cause", v.Reason)
		default:
			h.runCommon(e)
		}
	})
	h.loop.Feed(node.TimerFired{})
	h.log.Info("The process runs as entry.", "part", "daemon", "seeds", h.settings.Seeds)
	var stopBy time.Time
	return h.wait(ctx, drain, func() {
		leaving.Store(true)
		stopBy = h.leave(ctx, listener, callers)
	}, func() {
		letLeave(ctx, time.Until(stopBy), callers.IsIdle)
	})
}

// leave begins a planned stop and returns when it must be over. New callers come
// until the platform has seen that this entry is not ready. Whatever they ask is
// served.
func (h *hosted) leave(ctx context.Context, listener net.Listener, callers *session.Server) time.Time {
	began := time.Now()
	callers.RejectForwards()
	pause(ctx, h.settings.ListenerCloseDelay())
	_ = listener.Close()
	callers.Drain(began.Add(h.settings.StopTimeout / 2))
	return began.Add(h.settings.StopTimeout - stopReserve)
}

func (h *hosted) poolOptions() session.PoolOptions {
	return session.PoolOptions{
		Feed: func(in node.Input) { h.loop.Feed(in) }, Now: h.clock.Now,
		Dial: platform.Dial, ParseStatus: platform.ParseStatus, Dialect: platform.Dialect(), Log: h.log,
	}
}

// decided writes the decision on a request to the log.
func (h *hosted) decided(d session.Decision) {
	h.metrics.ObserveDuration("request", d.Duration)
	pairs := []any{
		"part", "request", "request", d.Request, "database", d.Database,
		"service", string(d.Service), "statement", d.Verb.String(), "verdict", d.Verdict, "cause", d.Reason,
		"instance", string(d.Instance), "tries", d.Attempts, "floor", d.Floor, "version", uint64(d.Version),
		"epoch", uint64(d.Epoch), "lease-left-ms", d.LeaseLeft.Milliseconds(),
		"took-us", d.Duration.Microseconds(), "waited-us", d.WaitTime.Microseconds(),
	}
	if d.ForwardedFrom != "" {
		pairs = append(pairs, "from", string(d.ForwardedFrom))
	}
	if d.ForwardedTo != "" {
		pairs = append(pairs, "via", string(d.ForwardedTo))
	}
	h.log.Info("A request was decided.", pairs...)
}

// serveForwarded runs what other entries of the site pass on.
func serveForwarded(callers *session.Server) func(link.IncomingStream) {
	return func(q link.IncomingStream) {
		callers.ServeForwarded(q.From, func() (session.ForwardedRequest, error) {
			var f session.ForwardedRequest
			err := q.Receive(&f)
			return f, err
		}, func(r session.ForwardReply) error { return q.Reply(r) })
	}
}

// way leads to another entry of the site.
func (h *hosted) way(channels *link.ChannelPool, to catalog.VMID) (*session.PeerConn, error) {
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
