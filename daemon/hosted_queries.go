package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// queryHandler returns the handler that answers operators' queries at a control
// VM, and forwards them to the leader if this VM is not the leader. The handler
// refuses commands that change something, since a hosted system is changed
// through the platform only.
func (h *hosted) queryHandler(commands *commandDispatcher) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c node.Command
		if !decodeJSON(w, r, "command", &c) {
			return
		}
		if !c.IsQuery() {
			http.Error(w, "command: this deployment is changed by the platform's operators; only questions are answered here", http.StatusForbidden)
			return
		}
		reply := commands.execute(c)
		if reply.Code == node.ReplyNotLeader && reply.Leader != "" && r.Header.Get(forwardedHeader) == "" {
			f := &forwarder{
				addresses: map[catalog.VMID]string{reply.Leader: h.settings.MetricsAddress(reply.Leader)},
				vms:       []catalog.VMID{reply.Leader},
			}
			reply, _ = f.forward(c, reply.Leader)
		}
		_ = json.NewEncoder(w).Encode(c.FilterReply(reply))
	})
}

// explainHandler returns the handler that answers operators' queries at an entry,
// which are about where requests go. Control answers all others.
func explainHandler(commands *commandDispatcher) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c node.Command
		if !decodeJSON(w, r, "command", &c) {
			return
		}
		if c.Explain == nil || !c.IsQuery() {
			http.Error(w, "command: entries answer explain only; ask the metrics address of a control VM", http.StatusForbidden)
			return
		}
		_ = json.NewEncoder(w).Encode(commands.execute(c))
	})
}
