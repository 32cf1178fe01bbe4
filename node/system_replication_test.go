package node_test

import (
	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/wire"
)

func (w *simulation) survey(p *process, v node.Survey) {
	u, life := w.group[v.Instance], p.incarnation
	w.schedule(w.untilLocal(p, v.Deadline), func() {
		w.handle(p, life, node.SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceTimeout})
	})
	w.sendToUpstream(p.site, u, func() {
		if u.dead {
			w.sendToProcess(p, life, u, node.SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceRefused})
			return
		}
		w.sendToProcess(p, life, u, node.SurveyDone{Survey: v.Survey, Instance: v.Instance, Evidence: wire.EvidenceAlive, Role: u.role, Position: u.position(), Received: u.receivedOffset()})
	})
}

func (w *simulation) promote(p *process, v node.Promote) {
	u, life := w.group[v.Instance], p.incarnation
	w.sendToUpstream(p.site, u, func() {
		if u.dead {
			w.sendToProcess(p, life, u, node.PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch})
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
		w.sendToProcess(p, life, u, node.PromoteDone{Service: v.Service, Instance: v.Instance, Epoch: v.Epoch, OK: true, Position: u.position()})
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
	})
}
