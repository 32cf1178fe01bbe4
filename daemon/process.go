package daemon

import (
	"context"
	"net"
	"net/http"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/quorum"
	"github.com/kingcupknot/kingcupknot/wal"
)

// process is what every daemon has: HTTP servers, and an end.
type process struct {
	servers []*http.Server
	stopped chan error
}

func newProcess() process {
	return process{stopped: make(chan error, 1)}
}

// fail ends the daemon with an error, or without one after a planned stop.
func (p *process) fail(err error) {
	select {
	case p.stopped <- err:
	default:
	}
}

// serve answers HTTP on a listener until the daemon ends.
func (p *process) serve(l net.Listener, h http.Handler) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: headerTime}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.fail(err)
		}
	}()
}

// await returns when the daemon is stopped. A drain calls begin, which asks the
// reducer to stop; end runs after a stop that took no longer than most.
func (p *process) await(ctx context.Context, drain <-chan struct{}, most time.Duration, begin, end func()) error {
	select {
	case <-ctx.Done():
		return nil
	case err := <-p.stopped:
		return err
	case <-drain:
	}
	begin()
	select {
	case <-ctx.Done():
		return nil
	case err := <-p.stopped:
		if err == nil {
			end()
		}
		return err
	case <-time.After(most):
		return errors.New("the stop took longer than settings allow")
	}
}

func (p *process) closeServers() {
	for _, h := range p.servers {
		// The process ends; what its servers still held ends with it.
		_ = h.Close()
	}
}

// letLeave waits until no caller is connected, so that the last answers reach
// them, within bounds.
func letLeave(ctx context.Context, most time.Duration, idle func() bool) {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	ticker := time.NewTicker(leaveEvery)
	defer ticker.Stop()
	for !idle() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pause waits, unless the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// openLog opens the log of a data folder. Initialise fills an empty one.
func openLog(folder string, initialise func(*wal.Log) error) (*wal.Log, quorum.PersistentState, error) {
	store, err := wal.Open(folder)
	if err != nil {
		return nil, quorum.PersistentState{}, errors.Trace(err)
	}
	saved, found, err := store.Load()
	if err == nil && !found {
		err = initialise(store)
		if err == nil {
			saved, _, err = store.Load()
		}
	}
	if err != nil {
		_ = store.Close()
		return nil, quorum.PersistentState{}, errors.Trace(err)
	}
	return store, saved, nil
}
