// Kingcupknot-relay is a TCP relay for tests. It can delay and cut connections.
package main

import (
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/program"
	"github.com/kingcupknot/kingcupknot/relay"
)

type options struct {
	Route []string      `long:"route" required:"true" description:"NAME=IP:PORT=IP:PORT, where it listens and where it leads; repeatable"`
	Delay time.Duration `long:"delay" description:"One-way delay of all routes at the start"`
	Admin string        `long:"admin" required:"true" description:"IP:PORT for HTTP: GET /routes, POST /cut, /heal, /delay?d=20ms with route=NAME"`
}

func main() {
	var o options
	program.Main("relay", &o, func() error { return run(o) })
}

func run(o options) error {
	signals := program.Signals()
	routes := map[string]*relay.Route{}
	for _, text := range o.Route {
		parts := strings.Split(text, "=")
		if len(parts) != 3 {
			return errors.Errorf("a route is NAME=IP:PORT=IP:PORT, not %s", text)
		}
		r, err := relay.Start(parts[1], parts[2], o.Delay)
		if err != nil {
			return errors.Annotatef(err, "route %s", parts[0])
		}
		defer r.Stop()
		routes[parts[0]] = r
	}
	l, err := net.Listen("tcp", o.Admin)
	if err != nil {
		return errors.Annotate(err, "listen for HTTP")
	}
	server := &http.Server{Handler: relay.Handler(routes), ReadHeaderTimeout: time.Second}
	go func() { _ = server.Serve(l) }()
	<-signals
	return errors.Trace(server.Close())
}
