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

// announcement describes the instance now.
func (s *Server) announcement() catalog.Announcement {
	role, p := s.store.status()
	address := s.options.AdvertiseAddress
	if address == "" {
		address = s.Address
	}
	return catalog.Announcement{
		Service: s.options.Service, Instance: s.options.Instance, Site: s.options.Site,
		Address: address, Role: role, Position: p, Leaving: s.leaving.Load(),
		Life: s.incarnation, Sequence: s.sequence.Add(1),
	}
}

// announceNow wakes the announcers.
func (s *Server) announceNow() {
	for _, k := range s.announceWakes {
		select {
		case k <- struct{}{}:
		default:
		}
	}
}

// announceLoop announces to one address, so that a slow one delays no other.
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

// announceOnce leaves a failure to the next announcement.
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
