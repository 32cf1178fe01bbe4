package standin

import (
	"encoding/json"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// startAdmin serves HTTP if an address is set.
func (s *Server) startAdmin() error {
	if s.options.Admin == "" {
		return nil
	}
	l, err := net.Listen("tcp", s.options.Admin)
	if err != nil {
		return errors.Annotate(err, "listen for HTTP")
	}
	s.AdminAddress = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /stats", s.getStats)
	mux.HandleFunc("POST /leave", func(http.ResponseWriter, *http.Request) { s.Leave() })
	mux.HandleFunc("POST /lag", s.postLag)
	mux.HandleFunc("POST /freeze", func(_ http.ResponseWriter, r *http.Request) {
		s.Freeze(r.FormValue("on") != "false")
	})
	s.admin = &http.Server{Handler: mux, ReadHeaderTimeout: time.Second}
	s.spawn(func() { _ = s.admin.Serve(l) })
	return nil
}

func (s *Server) getStats(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Stats())
}

func (s *Server) postLag(w http.ResponseWriter, r *http.Request) {
	lag, err := time.ParseDuration(r.FormValue("d"))
	if err != nil || lag < 0 {
		http.Error(w, "d must be a length of time such as 50ms", http.StatusBadRequest)
		return
	}
	s.SetReplicationLag(lag)
}
