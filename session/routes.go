package session

import (
	"sort"
	"sync"
	"time"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/node"
)

// routes holds the routes in force for the goroutines of callers.
type routes struct {
	mutex sync.Mutex
	now   node.RoutesChanged
	// known is closed once there are routes.
	known chan struct{}
}

func newRoutes() *routes {
	return &routes{known: make(chan struct{})}
}

func (r *routes) set(next node.RoutesChanged) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if r.now.Version == 0 && next.Version != 0 {
		close(r.known)
	}
	r.now = next
}

// find returns the route of a database.
func (r *routes) find(database string) (catalog.Route, bool) {
	r.mutex.Lock()
	list := r.now.Routes
	r.mutex.Unlock()
	i := sort.Search(len(list), func(i int) bool { return list[i].Database >= database })
	if i < len(list) && list[i].Database == database {
		return list[i], true
	}
	return catalog.Route{}, false
}

// idle is how long a transaction may rest, and the version that says so.
func (r *routes) idle() (time.Duration, catalog.Version) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	return r.now.TransactionIdle, r.now.Version
}

// await waits until there are routes and reports whether there are.
func (r *routes) await(most time.Duration) bool {
	select {
	case <-r.known:
		return true
	case <-time.After(most):
		return false
	}
}
