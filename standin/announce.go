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
	announceEvery   = 250 * time.Millisecond
	announceTimeout = 400 * time.Millisecond
)

// announcement describes the instance now.
func (s *Server) announcement() catalog.Announcement {
	role, p := s.store.status()
	address := s.options.Advertise
	if address == "" {
		address = s.Address
	}
	return catalog.Announcement{
		Service: s.options.Service, Instance: s.options.Instance, Site: s.options.Site,
		Address: address, Role: role, Position: p, Leaving: s.leaving.Load(),
		Incarnation: s.life, Sequence: s.sequence.Add(1),
	}
}

// announceNow wakes the announcers.
func (s *Server) announceNow() {
	for _, k := range s.kick {
		select {
		case k <- struct{}{}:
		default:
		}
	}
}

// announceTo announces to one address, so that a slow one delays no other.
func (s *Server) announceTo(address string, kick <-chan struct{}) {
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1}}
	defer client.CloseIdleConnections()
	ticker := time.NewTicker(announceEvery)
	defer ticker.Stop()
	for s.ctx.Err() == nil {
		s.gate.pass()
		s.announceOnce(client, address)
		select {
		case <-ticker.C:
		case <-kick:
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
	ask, err := http.NewRequestWithContext(
		ctx, http.MethodPost, "http://"+address+"/v1/announce", bytes.NewReader(body))
	if err != nil {
		return
	}
	ask.Header.Set("Content-Type", "application/json")
	answer, err := client.Do(ask)
	if err != nil {
		return
	}
	answer.Body.Close()
}
