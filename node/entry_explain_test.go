package node

import (
	"reflect"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/organisation"
	"github.com/kingcupknot/kingcupknot/ratelimit"
	"github.com/kingcupknot/kingcupknot/wire"
)

// comparableState returns the entry's state without buffers that hold nothing between
// two steps and without functions, which can't be compared.
func comparableState(e *Entry) *Entry {
	c := *e
	c.effects, c.provenBuffer, c.likelyBuffer, c.siteOrder, c.schedule.batch = nil, nil, nil, siteOrder{}, nil
	c.leaseValid, c.connLimit = nil, nil
	return &c
}

// checkExplained explains a request, then lets the same request arrive, and compares
// the choice with what becomes of the request and the entry's state with that before.
func checkExplained(t *rapid.T, e *Entry, now catalog.Instant, in RequestArrived, apply func([]Effect)) string {
	before := e.clone()
	x := e.explain(in, now)
	if !reflect.DeepEqual(comparableState(before), comparableState(e)) {
		t.Fatalf("explaining %+v changed the state of the entry", in)
	}
	effects := e.Step(Event{Now: now, Input: in})
	if got := e.choiceOf(in.Request, effects); got != x.Choice {
		t.Fatalf("%+v: explained as %+v, became %+v", in, x.Choice, got)
	}
	apply(effects)
	return x.Choice.Verdict
}

// explainWorld is a placeWorld with organisations, limits and other entries that
// may own the service.
func explainWorld(t *rapid.T) *placeWorld {
	w := newPlaceWorld(rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(1, 5).Draw(t, "granted"), 10*time.Millisecond)
	e := w.entry
	e.options.BalanceSites = rapid.Bool().Draw(t, "balance")
	if rapid.Bool().Draw(t, "organisations") {
		e.organisations = organisation.New([]catalog.Organisation{{ID: "a", Rate: 20, Burst: 3}, {ID: "b", Rate: 2}, {ID: "c"}})
	}
	for n := range w.answer.Upstreams {
		w.answer.Upstreams[n].Site = rapid.SampledFrom([]catalog.SiteID{"s1", "s2"}).Draw(t, "site")
		w.answer.Upstreams[n].Sequence++
	}
	w.answer.UpstreamsMark.Revision++
	if rapid.Bool().Draw(t, "entries") {
		w.answer.Entries, w.answer.SiteCount = []catalog.VMID{"e1", "e2", "e3"}, 2
	}
	w.advance(500 * time.Millisecond)
	return w
}

// changeState makes one upstream, the primary or the entry worse or better.
func (w *placeWorld) changeState(t *rapid.T) {
	e := w.entry
	s := e.services["orders"]
	i := rapid.SampledFrom(s.instances).Draw(t, "instance")
	e.markDirty(s)
	switch rapid.IntRange(0, 8).Draw(t, "change") {
	case 0:
		i.evidence = rapid.SampledFrom([]wire.Evidence{wire.EvidenceRefused, wire.EvidenceTimeout, wire.EvidenceAlive}).Draw(t, "evidence")
		i.failingSince = w.now
	case 1:
		i.pausedUntil = w.now.Add(100 * time.Millisecond)
	case 2:
		e.drained = []catalog.InstanceID{i.id}
	case 3:
		i.position, i.positionKnown = catalog.Position{Term: 1, Offset: 3}, rapid.Bool().Draw(t, "known")
	case 4:
		s.drainingEpoch = s.primary.Epoch * catalog.Epoch(rapid.IntRange(0, 1).Draw(t, "draining"))
	case 5:
		w.granted = rapid.IntRange(0, 5).Draw(t, "granted")
	case 6:
		i.recordLatency(time.Duration(rapid.IntRange(1, 900).Draw(t, "ms"))*time.Millisecond, w.now)
		i.readLatency.Record(time.Duration(rapid.IntRange(1, 900).Draw(t, "read-ms"))*time.Millisecond, w.now)
	case 7:
		w.advance(time.Duration(rapid.IntRange(1, 3000).Draw(t, "pause")) * time.Millisecond)
	case 8:
		e.limits.admission.SetShare(w.now, ratelimit.Share{Organisation: "a", Rate: 4, Burst: 1}, w.now.Add(time.Second))
	}
}

// TestExplainedChoice guards against an explanation that differs from what the entry
// then does, and against one that changes the entry: by a queue, a random number, a
// counter, a connection or a token of a limit.
func TestExplainedChoice(t *testing.T) {
	seen := map[string]int{}
	rapid.Check(t, func(t *rapid.T) {
		w := explainWorld(t)
		for range rapid.IntRange(5, 40).Draw(t, "events") {
			w.changeState(t)
			ids := []catalog.OrganisationID{""}
			if w.entry.organisations != nil {
				ids = append(ids, "a", "a", "b", "c")
			}
			in := RequestArrived{
				Request: catalog.RequestID(len(w.requests) + 1000), Service: "orders", Database: "shop",
				Kind:         rapid.SampledFrom([]RequestKind{KindRead, KindRead, KindRead, KindWrite, KindBegin, KindBeginRead}).Draw(t, "kind"),
				Organisation: rapid.SampledFrom(ids).Draw(t, "organisation"), Class: rapid.SampledFrom([]Class{ClassBooking, ClassBrowse}).Draw(t, "class"),
				Floor:  catalog.Position{Term: 1, Offset: catalog.Offset(rapid.IntRange(0, 8).Draw(t, "floor"))},
				MaxAge: rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond}).Draw(t, "age"), Objective: rapid.SampledFrom([]time.Duration{0, 40 * time.Millisecond, time.Second}).Draw(t, "objective"),
				Deadline: w.now.Add(time.Duration(rapid.IntRange(1, 1000).Draw(t, "within")) * time.Millisecond), Forwarded: rapid.Bool().Draw(t, "forwarded"),
			}
			w.requests[in.Request] = in
			verdict := checkExplained(t, w.entry, w.now, in, func(effects []Effect) {
				for _, x := range effects {
					w.effect(x)
				}
				w.drainInputs()
			})
			seen[verdict]++
			w.advance(time.Duration(rapid.IntRange(0, 10).Draw(t, "wait")) * time.Millisecond)
		}
	})
	t.Log(seen)
	for _, v := range []string{ExplainRun, ExplainForward, ExplainWait, ExplainRefuse} {
		if seen[v] == 0 {
			t.Errorf("no request had the verdict %q", v)
		}
	}
}

// TestExplainedChoiceWithAnnouncements guards against the same faults at an entry
// that learns of upstreams from their announcements.
func TestExplainedChoiceWithAnnouncements(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := randomWorld(t, func(*Entry) {})
		in := RequestArrived{
			Request: 9000, Service: "orders", Kind: rapid.SampledFrom([]RequestKind{KindRead, KindWrite}).Draw(t, "kind"),
			FloorUnknown: rapid.Bool().Draw(t, "floor"), Deadline: w.now.Add(time.Second),
		}
		checkExplained(t, w.entry, w.now, in, func([]Effect) {})
	})
}
