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

// process holds the HTTP servers of a daemon and the result of its run.
type process struct {
	servers []*http.Server
	// stopped receives the error that ended the daemon, or nil after a planned
	// stop.
	stopped chan error
}

func newProcess() process {
	return process{stopped: make(chan error, 1)}
}

// finish ends the daemon with an error, or without one after a planned stop. It
// has no effect if an earlier result has not been received yet.
func (p *process) finish(err error) {
	select {
	case p.stopped <- err:
	default:
	}
}

// serve handles HTTP requests on a listener until the daemon ends.
func (p *process) serve(l net.Listener, h http.Handler) {
	p.serveWithIdleTimeout(l, h, 0)
}

// serveWithIdleTimeout also closes connections that no request has used for idle,
// if that is not zero.
func (p *process) serveWithIdleTimeout(l net.Listener, h http.Handler, idle time.Duration) {
	server := &http.Server{Handler: h, ReadHeaderTimeout: readHeaderTimeout, IdleTimeout: idle}
	p.servers = append(p.servers, server)
	go func() {
		if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			p.finish(err)
		}
	}()
}

// awaitStop returns once the daemon has stopped. When drain is closed, it calls
// begin, which asks the reducer to stop. It calls end if the reducer stops
// without an error within the timeout, and returns an error if the timeout
// expires. It returns nil if the context ends.
func (p *process) awaitStop(ctx context.Context, drain <-chan struct{}, timeout time.Duration, begin, end func()) error {
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
	case <-time.After(timeout):
		return errors.New("planned stop exceeded the time limit of the settings")
	}
}

func (p *process) closeServers() {
	for _, h := range p.servers {
		// The process is about to exit, so an error has no consequences.
		_ = h.Close()
	}
}

// awaitIdle waits until no caller is connected, so that callers get their last
// answers. It returns early at the timeout or at the end of the context.
func awaitIdle(ctx context.Context, timeout time.Duration, isIdle func() bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	ticker := time.NewTicker(idlePollInterval)
	defer ticker.Stop()
	for !isIdle() {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// pause sleeps for a duration, or until the context ends.
func pause(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// openLog opens the log in a data folder and loads the state stored in it. If
// the folder is empty, it calls initialise first.
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
