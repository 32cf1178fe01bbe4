package session

import (
	"sort"
	"sync"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// routes holds the routes in force. It may be used by any goroutine.
type routes struct {
	mutex   sync.Mutex
	current node.RoutesChanged
	// loaded is closed once the first configuration is in force.
	loaded chan struct{}
}

func newRoutes() *routes {
	return &routes{loaded: make(chan struct{})}
}

func (r *routes) set(next node.RoutesChanged) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.current.Version == 0 && next.Version != 0 {
		close(r.loaded)
	}
	r.current = next
}

// snapshot returns the configuration in force. Its parts belong to one version.
func (r *routes) snapshot() node.RoutesChanged {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current
}

// findRoute returns the route of a database, if there is one.
func findRoute(list []catalog.Route, database string) (catalog.Route, bool) {
	i := sort.Search(len(list), func(i int) bool { return list[i].Database >= database })
	if i < len(list) && list[i].Database == database {
		return list[i], true
	}
	return catalog.Route{}, false
}

// transactionIdleAndVersion returns how long a transaction may be idle, zero if
// there is no limit, and the version of the configuration in force.
func (r *routes) transactionIdleAndVersion() (time.Duration, catalog.Version) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.current.TransactionIdle, r.current.Version
}

// await waits for the first configuration and reports whether it came into force
// within the timeout.
func (r *routes) await(timeout time.Duration) bool {
	select {
	case <-r.loaded:
		return true
	case <-time.After(timeout):
		return false
	}
}
