package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

const (
	// forwardMargin is added to commandTimeout for the network round trip to
	// the other VM.
	forwardMargin = time.Second
	// maxForwardAttempts bounds how many control VMs are tried for a command.
	maxForwardAttempts = 4
)

// forwarder forwards commands to the control leader.
type forwarder struct {
	// addresses holds, for each control VM, the address at which that VM
	// serves /v1/command.
	addresses map[catalog.VMID]string
	// vms lists the control VMs in the order in which they are tried.
	vms    []catalog.VMID
	client http.Client
}

// forwardedHeader marks a command that another VM has forwarded. The receiving
// VM does not forward such a command again.
const forwardedHeader = "Kingcupknot-Forwarded"

// forward sends a command to the control VMs until one of them answers as the
// leader, and returns false if none does. It tries the VM in hint first, if
// that is not empty. The change id makes it safe to send a command to more than
// one VM.
func (f *forwarder) forward(c node.Command, hint catalog.VMID) (node.Reply, bool) {
	noLeader := node.Reply{Code: node.ReplyNotLeader, Text: "No control VM leads for now. Come back shortly with the same change id.", RetryAfter: time.Second}
	candidates := f.vms
	if f.addresses[hint] != "" {
		candidates = append([]catalog.VMID{hint}, f.vms...)
	}
	for attempt := 0; attempt < maxForwardAttempts && len(candidates) > 0; attempt++ {
		vm := candidates[0]
		candidates = candidates[1:]
		r, err := f.post(f.addresses[vm], c)
		if err != nil {
			continue
		}
		if r.Code != node.ReplyNotLeader {
			return r, true
		}
		if f.addresses[r.Leader] != "" && r.Leader != vm {
			candidates = append([]catalog.VMID{r.Leader}, candidates...)
		}
	}
	return noLeader, false
}

func (f *forwarder) post(address string, c node.Command) (node.Reply, error) {
	var r node.Reply
	body, err := json.Marshal(c)
	if err != nil {
		return r, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), forwardMargin+commandTimeout)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/command", bytes.NewReader(body))
	if err != nil {
		return r, errors.Trace(err)
	}
	q.Header.Set(forwardedHeader, "1")
	a, err := f.client.Do(q)
	if err != nil {
		return r, errors.Trace(err)
	}
	defer func() { _ = a.Body.Close() }()
	return r, errors.Trace(json.NewDecoder(a.Body).Decode(&r))
}
