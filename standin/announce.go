package standin

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
)

const (
	announceInterval = 250 * time.Millisecond
	announceTimeout  = 400 * time.Millisecond
)

// announcement returns the instance's current state under the next sequence
// number.
func (s *Server) announcement() catalog.Announcement {
	role, p := s.store.status()
	address := s.options.AdvertiseAddress
	if address == "" {
		address = s.Address
	}
	return catalog.Announcement{
		Service: s.options.Service, Instance: s.options.Instance, Site: s.options.Site,
		Address: address, Role: role, Position: p, Leaving: s.leaving.Load(),
		Incarnation: s.incarnation, Sequence: s.sequence.Add(1),
	}
}

// announceNow makes every announcement loop send without waiting for its
// interval.
func (s *Server) announceNow() {
	for _, k := range s.announceWakes {
		select {
		case k <- struct{}{}:
		default:
		}
	}
}

// announceLoop announces to one address until the instance stops. Each address
// has its own loop, so that a slow receiver delays no other.
func (s *Server) announceLoop(address string, wake <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announceInterval)
	defer ticker.Stop()
	for s.ctx.Err() == nil {
		s.freeze.waitThawed()
		s.announceOnce(client, address)
		select {
		case <-ticker.C:
		case <-wake:
		case <-s.ctx.Done():
		}
	}
}

// announceOnce sends one announcement. It ignores a failure, since the next
// announcement replaces the lost one.
func (s *Server) announceOnce(client *http.Client, address string) {
	body, err := json.Marshal(s.announcement())
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(s.ctx, announceTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+address+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := client.Do(req)
	if err != nil {
		return
	}
	resp.Body.Close()
}
