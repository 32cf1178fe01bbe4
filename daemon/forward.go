package daemon

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

const (
	forwardMargin = time.Second
	// maxForwardAttempts bounds how often a command is passed on to another VM.
	maxForwardAttempts = 4
)

// forwarder finds the control leader for a command.
type forwarder struct {
	// addresses lists the admin addresses of the addresses VMs by name.
	addresses map[catalog.VMID]string
	vms       []catalog.VMID
	client    http.Client
}

// forwardedHeader marks a command that was passed on already.
const forwardedHeader = "Kingcupknot-Forwarded"

// forward tries the control VMs, the one named as leader first, until one answers
// as leader. The change id makes it safe to forward more than one.
func (f *forwarder) forward(c node.Command, hint catalog.VMID) (node.Reply, bool) {
	notFound := node.Reply{Code: node.ReplyNotLeader, Text: "No control VM leads for now. Come back shortly with the same change id.", RetryAfter: time.Second}
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
	return notFound, false
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

func isAddrPort(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
