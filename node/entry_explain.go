package node

import (
	"fmt"
	"slices"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/ratelimit"
)

// An entry explains where a request would go by giving it to a copy of itself. The
// copy decides by the same code, with the same queues and the same next random
// numbers, and is then dropped.

// explainedRequest is the id of requests that are explained. The shell numbers
// requests from 1.
const explainedRequest = ^catalog.RequestID(0)

// answerQuery answers an operator's query without changing the state of the entry.
func (e *Entry) answerQuery(now catalog.Instant, v CommandReceived) []Effect {
	reply := Reply{Code: ReplyInvalid, Version: e.version, Text: "Entries answer explain only. Send other commands to control."}
	if q := v.Command.Explain; q != nil && v.Command.IsQuery() {
		reply = e.answerExplain(now, *q)
	}
	return []Effect{AnswerCommand{Number: v.Number, Reply: reply}}
}

func (e *Entry) answerExplain(now catalog.Instant, q ExplainQuery) Reply {
	kind, ok := explainKinds[q.Kind]
	if !ok {
		return Reply{Code: ReplyInvalid, Version: e.version, Text: fmt.Sprintf("%q is not a kind of request: read, write, begin or begin-read.", q.Kind)}
	}
	if !e.started {
		return Reply{Code: ReplyUnknown, Text: "The entry is starting."}
	}
	x := &Explanation{}
	n := slices.IndexFunc(e.routes, func(r catalog.Route) bool { return r.Database == q.Database })
	if n >= 0 {
		in := NewRequest(e.routes[n], kind, q.Floor, now)
		in.Request, in.Organisation, in.Forwarded = explainedRequest, q.Organisation, q.Forwarded
		x = e.explain(in, now)
		x.Route = &e.routes[n]
	} else {
		x.Entry = e.explainEntry(now)
		x.Choice = ExplainedChoice{Verdict: ExplainRefuse, Cause: "no route in force has this database"}
	}
	if cause := e.callerRefusal(x, q); cause != "" {
		x.Choice = ExplainedChoice{Verdict: ExplainRefuse, Cause: cause}
	}
	return Reply{Code: ReplyOK, Version: e.version, Explanation: x}
}

// callerRefusal returns why a caller of the organisation is refused before its
// request reaches the reducer, empty if it is not.
func (e *Entry) callerRefusal(x *Explanation, q ExplainQuery) string {
	switch {
	case x.Route == nil || q.Forwarded:
		return ""
	case q.Organisation != "" && !x.Organisation.Known:
		return "the organisation is not in the configuration in force, so its keys get AUTHFAIL"
	case q.Organisation == "" && e.organisations != nil && !x.Route.KeyExempt:
		return "callers of this database need the key of an organisation"
	}
	return ""
}

// explain says what would become of a request that arrives now.
func (e *Entry) explain(in RequestArrived, now catalog.Instant) *Explanation {
	after := e.clone()
	choice := after.choiceOf(in.Request, after.Step(Event{Now: now, Input: in}))
	x := &Explanation{Entry: e.explainEntry(now), Choice: choice}
	before := e.clone()
	if s := before.services[in.Service]; s != nil {
		before.markDirty(s)
	}
	before.Step(Event{Now: now, Input: TimerFired{}})
	r := before.newRequest(in)
	x.Organisation = before.explainOrganisation(r, choice)
	if r.service == nil {
		return x
	}
	x.Forwarding = before.explainForwarding(r)
	if choice.Verdict != ExplainForward {
		// A request that runs here subscribes this entry to the service.
		before.markInUse(r)
	}
	x.Service = before.explainService(r)
	x.Upstreams = before.explainUpstreams(r)
	return x
}

// choiceOf returns what became of a request in a step of the entry, by the effects
// of that step.
func (e *Entry) choiceOf(id catalog.RequestID, effects []Effect) ExplainedChoice {
	for _, x := range effects {
		switch v := x.(type) {
		case RunRequest:
			if v.Request == id {
				return ExplainedChoice{Verdict: ExplainRun, Upstream: e.conns[v.Conn].instance.id}
			}
		case ForwardRequest:
			if v.Request == id {
				return ExplainedChoice{Verdict: ExplainForward, Entry: v.To}
			}
		case AnswerRequest:
			if v.Request == id {
				return ExplainedChoice{Verdict: ExplainRefuse, Cause: v.Reason, RetryAfter: v.RetryAfter, Elsewhere: v.RetryElsewhere}
			}
		}
	}
	c := ExplainedChoice{Verdict: ExplainWait}
	if r := e.requests[id]; r != nil {
		c.Upstream, c.Cause = e.waitCause(r, effects)
	}
	return c
}

// waitCause returns what a waiting request waits for, and the upstream to which a
// connection is opened for it, if any.
func (e *Entry) waitCause(r *entryRequest, effects []Effect) (catalog.InstanceID, string) {
	if e.mayForward(r) && e.isAwaitingOwners() {
		return "", "the list of the site's entries is not known yet"
	}
	for _, x := range effects {
		if v, ok := x.(OpenConn); ok && v.Service == r.Service && v.Organisation == r.Organisation {
			return v.Instance, "a connection is opened"
		}
	}
	if r.lackedAt != nil && r.lackedStep == e.steps {
		return r.lackedAt.id, "no connection of the organisation is free"
	}
	if !r.isRead() && e.readyPrimary(r.service) == nil {
		return "", "no primary takes new work now"
	}
	return "", "no upstream that may run the request has both a slot and a connection free"
}

func (e *Entry) explainEntry(now catalog.Instant) ExplainedEntry {
	return ExplainedEntry{
		VM: e.options.VM, Site: e.options.Site, Version: e.version, Ready: e.ready,
		ControlAge: now.Sub(e.report.controlAnsweredAt), ReportAge: now.Sub(e.report.answeredSentAt),
	}
}

// explainOrganisation returns the limit of the request's organisation. The choice
// tells whether the limit admitted the request.
func (e *Entry) explainOrganisation(r *entryRequest, choice ExplainedChoice) *ExplainedOrganisation {
	if r.Organisation == "" {
		return nil
	}
	o, known := e.organisations.ByID(r.Organisation)
	x := &ExplainedOrganisation{ID: r.Organisation, Known: known, Rate: o.Rate, Burst: o.Burst, Admitted: known && choice.Cause != overLimitReason}
	if o.Rate > 0 {
		s := e.limits.admission.Standing(e.now, o.ID, ratelimit.Limit{Rate: o.Rate, Burst: o.Burst})
		x.Standing = &s
	}
	return x
}

func (e *Entry) explainForwarding(r *entryRequest) ExplainedForwarding {
	if !e.options.UpstreamsFromControl {
		return ExplainedForwarding{Here: true, Cause: "entries of this deployment don't forward requests"}
	}
	x := ExplainedForwarding{Owners: e.ownersOf(r.service)}
	x.Owner = e.ownerFor(r.service, r.Organisation, x.Owners)
	x.Here = !e.mayForward(r) || x.Owner == "" || x.Owner == e.options.VM
	switch {
	case r.Forwarded:
		x.Cause = "a forwarded request is not forwarded again"
	case e.isAwaitingOwners():
		x.Here, x.Cause = false, "the list of the site's entries is not known yet"
	case x.Owner == "":
		x.Cause = "no owner of the service is known that takes requests"
	case x.Here:
		x.Cause = "this entry owns the service for such requests"
	case slices.Contains(x.Owners, e.options.VM):
		x.Cause = "requests of the organisation run at another owner of the service"
	default:
		x.Cause = "this entry does not own the service"
	}
	return x
}

func (e *Entry) explainService(r *entryRequest) ExplainedService {
	s := r.service
	x := ExplainedService{
		Epoch: s.primary.Epoch, Primary: s.primary.Instance, Ready: s.primary.Ready, Waiting: s.waitingCount(),
		LeaseValid: e.leaseValid(s, s.primary.Epoch, e.now), LeaseAge: e.now.Sub(e.report.answeredSentAt),
	}
	if s.leaseUntil != 0 {
		x.LeaseLeft = s.leaseUntil.Sub(e.now)
	}
	if r.isRead() && !r.primaryOnly {
		x.Floor, x.FloorKnown = e.readFloor(s, r)
	}
	return x
}
