package daemon

import (
	"context"
	"encoding/base64"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"
	"github.com/xdg-go/scram"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/listener"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/settings"
	"github.com/kingcupknot/kingcupknot/telemetry"
	"github.com/kingcupknot/kingcupknot/upstream"
)

// defaultDeadline is how long a caller waits that states no deadline.
const defaultDeadline = 5 * time.Second

// runEntry runs an entry VM.
func (s *shared) runEntry(ctx context.Context, drain <-chan struct{}) error {
	c := s.options.Settings
	entry := node.NewEntry(s.entryOptions())
	s.loop = NewLoop(s.clock, entry.Step)
	pool := upstream.NewPool(upstream.Options{
		Feed: s.loop.Feed, Now: s.clock.Now, Statements: c.Statements,
		User: c.Security.UpstreamUser, Password: c.Security.UpstreamPassword, Log: s.log,
	})
	defer pool.CloseAll()
	options, err := s.listenerOptions(pool)
	if err != nil {
		return errors.Trace(err)
	}
	callers, err := listener.New(options)
	if err != nil {
		return errors.Trace(err)
	}
	defer callers.Close()
	to := s.newForwarder()
	ask := func(c node.Command) (node.Reply, bool) { return to.ask(c, "") }
	a := &admin{
		feed: s.loop.Feed, metrics: s.metrics.Handler(), ask: ask, ready: ready(drain),
		tokenKey: c.Security.TokenKey,
	}
	if err := s.connect(a); err != nil {
		return errors.Trace(err)
	}
	go s.loop.Run(ctx, func(e node.Effect) {
		switch v := e.(type) {
		case node.OpenConn:
			pool.Open(v)
		case node.CloseConn:
			pool.Close(v)
		case node.Probe:
			pool.Probe(v)
		case node.RunRequest:
			callers.DeliverRun(v)
		case node.AnswerRequest:
			callers.DeliverAnswer(v)
		default:
			s.runCommon(e)
		}
	})
	s.loop.Feed(node.TimerFired{})
	go func() {
		// It returns without an error when a planned stop begins, which must
		// not end the daemon.
		if err := callers.Serve(); err != nil {
			s.fail(err)
		}
	}()
	telemetry.LogLine(s.log, false, "daemon", "Runs as entry.", nil)
	return s.wait(ctx, drain, callers.Drain, func() { letLeave(ctx, s.options.Settings.Timings.Drain, callers.IsIdle) })
}

// leaveEvery is the time between two looks at whether all callers have left.
const leaveEvery = 5 * time.Millisecond

func (s *shared) entryOptions() node.EntryOptions {
	c := s.options.Settings
	var near []catalog.VMID
	for _, v := range c.VMs {
		if v.Role == settings.RoleEntry && v.Site == s.options.VM.Site && v.Name != s.options.VM.Name {
			near = append(near, v.Name)
		}
	}
	return node.EntryOptions{
		VM: s.options.VM.Name, Site: s.options.VM.Site, Incarnation: uint64(time.Now().UnixNano()), Seed: random(),
		Timings: c.Timings, Control: s.vmsOf(settings.RoleControl), Peers: s.vmsOf(settings.RoleEntry),
		SitePeers: near, QueueLimit: c.Limits.Queue, Observers: c.Limits.Observers,
		ReadFromPrimary: c.Policy.Reads == settings.ReadsPrimary, EqualShares: c.Policy.Shares == settings.SharesEqual,
	}
}

// ready reports true until a planned stop begins.
func ready(drain <-chan struct{}) func() bool {
	return func() bool {
		select {
		case <-drain:
			return false
		default:
			return true
		}
	}
}

func (s *shared) listenerOptions(pool *upstream.Pool) (listener.Options, error) {
	c := s.options.Settings
	callers, err := verifiers(c.Security.Callers)
	if err != nil {
		return listener.Options{}, errors.Trace(err)
	}
	return listener.Options{
		Address: s.options.VM.CallerAddress, Feed: s.loop.Feed, Now: s.clock.Now,
		TokenKey: c.Security.TokenKey, Callers: callers,
		MaxMessage: c.Limits.MaxMessage, MaxCallers: c.Limits.MaxCallers,
		DefaultDeadline: defaultDeadline, Pool: pool, Log: s.log,
		RecordSpan: func(name, traceparent string, start, end catalog.Instant) {
			s.metrics.ObserveDuration(name, end.Sub(start))
			s.tracing.Record(telemetry.WithTraceparent(context.Background(), traceparent), name, s.clock.WallTime(start), s.clock.WallTime(end))
		},
	}, nil
}

// verifiers turns the settings' callers into what SCRAM checks against.
func verifiers(callers []settings.Caller) (map[string]scram.StoredCredentials, error) {
	if len(callers) == 0 {
		return nil, nil
	}
	out := map[string]scram.StoredCredentials{}
	for _, c := range callers {
		v, err := verifier(c.Verifier)
		if err != nil {
			return nil, errors.Annotatef(err, "verifier of %s", c.User)
		}
		out[c.User] = v
	}
	return out, nil
}

// verifier reads SCRAM-SHA-256$iterations:salt$stored:server.
func verifier(text string) (scram.StoredCredentials, error) {
	var v scram.StoredCredentials
	parts := strings.FieldsFunc(text, func(r rune) bool { return r == '$' || r == ':' })
	if len(parts) != verifierParts {
		return v, errors.New("it is not in PostgreSQL's format")
	}
	iterations, err := strconv.Atoi(parts[1])
	if err != nil {
		return v, errors.Annotate(err, "iterations")
	}
	salt, err := base64.StdEncoding.DecodeString(parts[2])
	if err != nil {
		return v, errors.Annotate(err, "salt")
	}
	v.KeyFactors = scram.KeyFactors{Salt: string(salt), Iters: iterations}
	if v.StoredKey, err = base64.StdEncoding.DecodeString(parts[3]); err != nil {
		return v, errors.Annotate(err, "stored key")
	}
	v.ServerKey, err = base64.StdEncoding.DecodeString(parts[4])
	return v, errors.Annotate(err, "server key")
}

// verifierParts is how many fields a verifier has.
const verifierParts = 5
