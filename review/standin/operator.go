package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"time"
)

// manifest and its parts are what the operator sends.
type manifest struct {
	Version  int            `json:"version"`
	Routes   []route        `json:"routes"`
	Services []service      `json:"services"`
	Limits   map[string]int `json:"limits"`
	Tenants  []tenant       `json:"tenants,omitempty"`
}

type tenant struct {
	Name     string   `json:"name"`
	APIKeys  []string `json:"api_keys"`
	Priority int      `json:"priority"`
	RatePerS int      `json:"rate_per_s"`
	Burst    int      `json:"burst"`
}

// route is a route by the names of its fields.
type route map[string]any

type service struct {
	Name         string `json:"name"`
	HealthPath   string `json:"health_path"`
	MaxConns     int    `json:"max_conns"`
	Protocol     string `json:"protocol"`
	TLS          bool   `json:"tls"`
	SyncReplicas int    `json:"sync_replicas"`
}

// Names of the databases and the service.
const (
	serviceName     = "ledger"
	databasePrimary = "orders"
	databaseBounded = "browse"
	databaseOwn     = "reserve"
)

func newRoute(host, kind string) route {
	r := route{
		"name": "r-" + host, "host": host, "path_prefix": "/", "route_type": kind, "timeout_ms": 1000, "target_latency_ms": 200, "priority": 1,
		"service": serviceName, "max_attempts": 2,
	}
	switch kind {
	case "bounded_staleness":
		r[names.StalenessField] = 1500
	case "read_own_writes":
		r[names.StalenessField] = 2500
	}
	return r
}

// newManifest returns a manifest with the three usual routes and further ones.
func newManifest(version int, further ...route) manifest {
	routes := []route{newRoute(databasePrimary, "primary"), newRoute(databaseBounded, "bounded_staleness"), newRoute(databaseOwn, "read_own_writes")}
	return manifest{
		Version: version, Routes: append(routes, further...),
		Services: []service{{Name: serviceName, HealthPath: "/health", MaxConns: maxConns, Protocol: "h1"}},
		Limits:   map[string]int{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, names.IdleField: 3000},
	}
}

// call sends a request to a control machine and follows two redirects.
func (d *deployment) call(who string, control int, method, path string, body []byte) (int, []byte, error) {
	url := "http://" + d.controlAddress(control) + path
	for range 3 {
		r, err := http.NewRequest(method, url, bytes.NewReader(body))
		if err != nil {
			return 0, nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		client := d.client
		client.CheckRedirect = func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
		answer, err := client.Do(r)
		if err != nil {
			d.record.add(who, "%s %s: %v", method, url, err)
			return 0, nil, err
		}
		data, err := io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err != nil {
			return 0, nil, err
		}
		if answer.StatusCode != http.StatusTemporaryRedirect {
			return answer.StatusCode, data, nil
		}
		url = answer.Header.Get("Location")
	}
	return 0, nil, errors.New("too many redirects")
}

// apply sends a manifest until it is acknowledged, and returns the time of the
// acknowledgement.
func (d *deployment) apply(m manifest, within time.Duration) (time.Time, error) {
	body, err := json.Marshal(m)
	if err != nil {
		return time.Time{}, err
	}
	end := time.Now().Add(within)
	for n := 0; time.Now().Before(end); n++ {
		d.record.add("operator", "sends version %d to core-%d", m.Version, n%coreCount+1)
		code, _, err := d.call("operator", n, http.MethodPut, names.ManifestPath, body)
		if err == nil && code == http.StatusOK {
			d.record.add("operator", "version %d is acknowledged", m.Version)
			return time.Now(), nil
		}
		d.record.add("operator", "version %d: status %d, %v", m.Version, code, err)
		time.Sleep(200 * time.Millisecond)
	}
	return time.Time{}, fmt.Errorf("version %d was not acknowledged", m.Version)
}

func (d *deployment) platformAddress() string {
	return net.JoinHostPort(d.ip(groupPlatform, 0), strconv.Itoa(d.ports.platform))
}

// startPlatform starts the platform's API.
func (d *deployment) startPlatform() error {
	l, err := net.Listen("tcp", d.platformAddress())
	if err != nil {
		return err
	}
	d.listeners = append(d.listeners, l)
	mux := http.NewServeMux()
	mux.HandleFunc("POST /promotion", func(w http.ResponseWriter, r *http.Request) {
		var request struct {
			Service string `json:"service"`
			ID      string `json:"id"`
		}
		token, err := strconv.ParseUint(r.Header.Get(names.FenceHeader), 10, 64)
		if err != nil || json.NewDecoder(r.Body).Decode(&request) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		ok := d.cluster.promote(request.ID, token)
		d.record.add("platform", "promotion of %s by %s with %d: accepted %v", request.ID, r.Header.Get(names.HolderHeader), token, ok)
		if !ok {
			w.WriteHeader(http.StatusConflict)
		}
	})
	go func() { _ = http.Serve(l, mux) }()
	return nil
}
