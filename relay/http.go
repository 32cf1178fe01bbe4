package relay

import (
	"encoding/json"
	"net/http"
	"time"
)

// RouteState is the state of a route in the answer to GET /routes.
type RouteState struct {
	Listen string `json:"listen"`
	Target string `json:"target"`
	// Delay is the one-way delay as a Go duration, such as 20ms.
	Delay string `json:"delay"`
	Cut   bool   `json:"cut"`
}

// Handler serves GET /routes, which returns the state of all routes as JSON, and
// POST /cut, /heal and /delay?d=20ms, which act on the route in route=NAME or,
// without it, on all routes. An invalid delay gives status 400, an unknown route
// 404.
func Handler(routes map[string]*Route) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /routes", func(w http.ResponseWriter, _ *http.Request) {
		out := map[string]RouteState{}
		for name, r := range routes {
			delay, cut := r.State()
			out[name] = RouteState{Listen: r.Address, Target: r.target, Delay: delay.String(), Cut: cut}
		}
		w.Header().Set("Content-Type", "application/json")
		_ = json.NewEncoder(w).Encode(out)
	})
	mux.HandleFunc("POST /cut", func(w http.ResponseWriter, q *http.Request) {
		applyToRoutes(routes, w, q, (*Route).Cut)
	})
	mux.HandleFunc("POST /heal", func(w http.ResponseWriter, q *http.Request) {
		applyToRoutes(routes, w, q, (*Route).Heal)
	})
	mux.HandleFunc("POST /delay", func(w http.ResponseWriter, q *http.Request) {
		d, err := time.ParseDuration(q.FormValue("d"))
		if err != nil || d < 0 {
			http.Error(w, "d must be a length of time such as 20ms", http.StatusBadRequest)
			return
		}
		applyToRoutes(routes, w, q, func(r *Route) { r.SetDelay(d) })
	})
	return mux
}

func applyToRoutes(routes map[string]*Route, w http.ResponseWriter, q *http.Request, do func(*Route)) {
	name := q.FormValue("route")
	if name == "" {
		for _, r := range routes {
			do(r)
		}
		return
	}
	r, ok := routes[name]
	if !ok {
		http.Error(w, "no such route", http.StatusNotFound)
		return
	}
	do(r)
}
