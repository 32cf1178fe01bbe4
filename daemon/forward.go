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
	forwardTime = time.Second
	// forwardTries bounds how often a command is passed on to another VM.
	forwardTries = 4
)

// forwarder finds the control leader for a command.
type forwarder struct {
	// control lists the admin addresses of the control VMs by name.
	control map[catalog.VMID]string
	names   []catalog.VMID
	client  http.Client
}

// forwarded marks a command that was passed on already.
const forwarded = "Kingcupknot-Forwarded"

// ask tries the control VMs, the one named as leader first, until one answers
// as leader. The change id makes it safe to ask more than one.
func (f *forwarder) ask(c node.Command, hint catalog.VMID) (node.Reply, bool) {
	last := node.Reply{Code: node.ReplyNotLeader, Text: "No control VM leads for now. Come back shortly with the same change id.", RetryAfter: time.Second}
	next := f.names
	if f.control[hint] != "" {
		next = append([]catalog.VMID{hint}, f.names...)
	}
	for tries := 0; tries < forwardTries && len(next) > 0; tries++ {
		vm := next[0]
		next = next[1:]
		r, err := f.post(f.control[vm], c)
		if err != nil {
			continue
		}
		if r.Code != node.ReplyNotLeader {
			return r, true
		}
		if f.control[r.Leader] != "" && r.Leader != vm {
			next = append([]catalog.VMID{r.Leader}, next...)
		}
	}
	return last, false
}

func (f *forwarder) post(address string, c node.Command) (node.Reply, error) {
	var r node.Reply
	body, err := json.Marshal(c)
	if err != nil {
		return r, errors.Trace(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), forwardTime+commandTime)
	defer cancel()
	q, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+"/v1/command", bytes.NewReader(body))
	if err != nil {
		return r, errors.Trace(err)
	}
	q.Header.Set(forwarded, "1")
	a, err := f.client.Do(q)
	if err != nil {
		return r, errors.Trace(err)
	}
	defer func() { _ = a.Body.Close() }()
	return r, errors.Trace(json.NewDecoder(a.Body).Decode(&r))
}

func isAddress(s string) bool {
	_, err := netip.ParseAddrPort(s)
	return err == nil
}
