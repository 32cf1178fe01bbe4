package node_test

import (
	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

func (w *simulation) survey(p *process, v node.Survey) {
	u, incarnation := w.group[v.Instance], p.incarnation
	w.schedule(w.untilLocal(p, v.Deadline), func() {
		w.handle(p, incarnation, node.SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceTimeout})
	})
	w.sendToUpstream(p.site, u, func() {
		if u.dead {
			w.sendToProcess(p, incarnation, u, node.SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceRefused})
			return
		}
		w.sendToProcess(p, incarnation, u, node.SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceAlive, Role: u.role, Position: u.position(), Received: u.receivedOffset()})
	})
}

func (w *simulation) promote(p *process, v node.Promote) {
	if w.onPromote != nil {
		w.onPromote(p, v)
		return
	}
	u, incarnation := w.group[v.Instance], p.incarnation
	w.sendToUpstream(p.site, u, func() {
		if u.dead {
			w.sendToProcess(p, incarnation, u, node.PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch})
			return
		}
		if u.role != catalog.RolePrimary {
			u.role, u.following, u.promotedAt = catalog.RolePrimary, "", w.now
			if isPrefix(u.log, u.received) {
				u.log = u.received
			}
			for _, id := range w.ids() {
				u.term = max(u.term, w.group[id].term)
			}
			u.term++
			w.counts["promotion"]++
		}
		w.sendToProcess(p, incarnation, u, node.PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch, OK: true, Position: u.position()})
	})
}

// follow makes an upstream a replica of another, after truncating its log to
// the records that both have.
func (w *simulation) follow(p *process, v node.Follow) {
	u, from := w.group[v.Instance], w.group[v.PrimaryInstance]
	w.sendToUpstream(p.site, u, func() {
		if u.dead || from.role != catalog.RolePrimary || from.term <= u.term {
			return
		}
		u.follow(from)
	})
}

// follow makes the upstream a replica of another, after truncating its log to the
// records that both have.
func (u *instance) follow(from *instance) {
	u.rewinds++
	all := u.log
	if isPrefix(u.log, u.received) {
		all = u.received
	}
	n := 0
	for n < len(all) && n < len(from.log) && all[n] == from.log[n] {
		n++
	}
	u.received, u.log = all[:n:n], u.log[:min(n, len(u.log))]
	u.role, u.following = catalog.RoleReplica, from.id
}

// followNewest makes an upstream follow the primary of the newest term as soon as both
// are in reach of each other. Upstreams that control lists do so by themselves.
func (w *simulation) followNewest(u *instance) {
	if len(w.group) < len(w.ids()) {
		return
	}
	from := w.lastPromoted()
	if u == from || u.following == from.id || u.dead || u.isDeaf || from.dead || from.role != catalog.RolePrimary || from.term <= u.term {
		return
	}
	if w.now >= u.frozenUntil && w.now >= from.frozenUntil && !w.isCut(u.site, from.site) {
		u.follow(from)
	}
}
