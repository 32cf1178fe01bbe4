package daemon

import (
	"encoding/json"
	"net/http"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// queryHandler answers operators' queryHandler at a control VM, here or at the leader.
// Changes come from the platform's operators alone.
func (h *hosted) queryHandler(commands *commandDispatcher) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		var c node.Command
		if !decodeJSON(w, r, "command", &c) {
			return
		}
		if !c.IsQuestion() {
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
		_ = json.NewEncoder(w).Encode(reply)
	})
}
