package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// questions answers operators' questions at a control VM, here or at the leader.
// Changes come from the platform's operators alone.
func (h *hosted) questions(asked *asker) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c node.Command
		if !decode(w, r, "command", &c) {
			return
		}
		if !c.IsQuery() {
			http.Error(w, "command: this deployment is changed by the platform's operators; only questions are answered here", http.StatusForbidden)
			return
		}
		reply := asked.ask(c)
		if reply.Code == node.ReplyNotLeader && reply.Leader != "" && r.Header.Get(forwarded) == "" {
			to := &forwarder{
				control: map[catalog.VMID]string{reply.Leader: h.settings.MetricsAddress(reply.Leader)},
				names:   []catalog.VMID{reply.Leader},
			}
			reply, _ = to.ask(c, reply.Leader)
		}
		_ = json.NewEncoder(w).Encode(reply)
	})
}
