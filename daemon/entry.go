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

// defaultDeadline bounds requests whose caller states no deadline.
const defaultDeadline = 5 * time.Second

// runEntry runs an entry VM until it stops.
func (s *standalone) runEntry(ctx context.Context, drain <-chan struct{}) error {
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
	forwarder := s.newForwarder()
	execute := func(c node.Command) (node.Reply, bool) { return forwarder.forward(c, "") }
	a := &admin{
		feed: s.loop.Feed, metrics: s.metrics.Handler(), execute: execute, ready: readyUntil(drain),
		tokenKey: c.Security.TokenKey,
	}
	if err := s.servePeersAndAdmin(a); err != nil {
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
			s.runCommonEffect(e)
		}
	})
	s.loop.Feed(node.TimerFired{})
	go func() {
		// Serve returns nil when a planned stop begins. The daemon must go on
		// in that case, to finish the work in flight.
		if err := callers.Serve(); err != nil {
			s.finish(err)
		}
	}()
	telemetry.LogLine(s.log, false, "daemon", "Runs as an entry.", nil)
	return s.runUntilStopped(ctx, drain, callers.Drain, func() { awaitIdle(ctx, s.options.Settings.Timings.DrainTimeout, callers.IsIdle) })
}

// idlePollInterval is the time between two checks whether all callers have
// disconnected.
const idlePollInterval = 5 * time.Millisecond

func (s *standalone) entryOptions() node.EntryOptions {
	c := s.options.Settings
	var neighbours []catalog.VMID
	for _, v := range c.VMs {
		if v.Role == settings.RoleEntry && v.Site == s.options.VM.Site && v.Name != s.options.VM.Name {
			neighbours = append(neighbours, v.Name)
		}
	}
	return node.EntryOptions{
		VM: s.options.VM.Name, Site: s.options.VM.Site, Incarnation: uint64(time.Now().UnixNano()), Seed: randomUint64(),
		Timings: c.Timings, Control: s.otherVMs(settings.RoleControl), Peers: s.otherVMs(settings.RoleEntry),
		SitePeers: neighbours, QueueLimit: c.Limits.MaxQueue, Observers: c.Limits.Observers,
		ReadFromPrimary: c.Policy.Reads == settings.ReadsPrimary, EqualShares: c.Policy.Shares == settings.SharesEqual,
	}
}

// readyUntil returns a readiness check that succeeds until drain is closed.
func readyUntil(drain <-chan struct{}) func() bool {
	return func() bool {
		select {
		case <-drain:
			return false
		default:
			return true
		}
	}
}

func (s *standalone) listenerOptions(pool *upstream.Pool) (listener.Options, error) {
	c := s.options.Settings
	callers, err := parseVerifiers(c.Security.Callers)
	if err != nil {
		return listener.Options{}, errors.Trace(err)
	}
	return listener.Options{
		Address: s.options.VM.CallerAddress, Feed: s.loop.Feed, Now: s.clock.Now,
		TokenKey: c.Security.TokenKey, Callers: callers,
		MaxMessage: c.Limits.MaxMessageBytes, MaxCallers: c.Limits.MaxCallers,
		DefaultDeadline: defaultDeadline, Pool: pool, Log: s.log,
		RecordSpan: func(name, traceparent string, start, end catalog.Instant) {
			s.metrics.Observe(name, end.Sub(start))
			s.tracing.Record(telemetry.Parent(context.Background(), traceparent), name, s.clock.WallTime(start), s.clock.WallTime(end))
		},
	}, nil
}

// parseVerifiers returns the SCRAM credentials of the callers in the settings
// by user name, or nil if the settings name no callers.
func parseVerifiers(callers []settings.Caller) (map[string]scram.StoredCredentials, error) {
	if len(callers) == 0 {
		return nil, nil
	}
	out := map[string]scram.StoredCredentials{}
	for _, c := range callers {
		v, err := parseVerifier(c.Verifier)
		if err != nil {
			return nil, errors.Annotatef(err, "verifier of %s", c.User)
		}
		out[c.User] = v
	}
	return out, nil
}

// parseVerifier parses a SCRAM verifier in PostgreSQL's format,
// SCRAM-SHA-256$iterations:salt$stored:server.
func parseVerifier(text string) (scram.StoredCredentials, error) {
	var v scram.StoredCredentials
	parts := strings.FieldsFunc(text, func(r rune) bool { return r == '$' || r == ':' })
	if len(parts) != verifierFields {
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

// verifierFields is the number of fields of a verifier: the name of the
// mechanism, the iterations, the salt, the stored key and the server key.
const verifierFields = 5
