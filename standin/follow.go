package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
)

// followRetryDelay is the time between two attempts to follow an instance, and
// the limit for closing a connection to it.
const followRetryDelay = 50 * time.Millisecond

// Follow makes the instance a replica of the instance at a PostgreSQL address,
// given as IP and port. The local log is truncated to the offset up to which the
// two histories agree.
func (s *Server) Follow(address string) {
	s.stopFollowing()
	s.store.demote()
	s.startFollowing(address)
	s.announceNow()
}

func (s *Server) startFollowing(address string) {
	ctx, cancel := context.WithCancel(s.ctx)
	done := make(chan struct{})
	s.mu.Lock()
	s.cancelFollow, s.followDone = cancel, done
	s.conninfoAddress, s.followedAddress = address, address
	s.mu.Unlock()
	s.spawn(func() {
		defer close(done)
		for ctx.Err() == nil {
			_ = s.followOnce(ctx, address)
			_ = sleepContext(ctx, followRetryDelay)
		}
	})
}

func (s *Server) stopFollowing() {
	s.mu.Lock()
	cancel, done := s.cancelFollow, s.followDone
	s.cancelFollow, s.followDone = nil, nil
	s.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

func (s *Server) setConninfoAddress(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conninfoAddress = address
}

// reload makes the instance follow conninfoAddress, unless that address is
// empty, is the instance's own, or is followed already.
func (s *Server) reload() {
	s.mu.Lock()
	address := s.conninfoAddress
	same := s.cancelFollow != nil && address == s.followedAddress
	s.mu.Unlock()
	if address != "" && address != s.Address && !same {
		s.Follow(address)
	}
}

// followOnce replicates another instance's log until the stream ends or fails.
func (s *Server) followOnce(ctx context.Context, address string) error {
	config, err := pgconn.ParseConfig("postgres://standin@" + address + "/standin?sslmode=disable")
	if err != nil {
		return errors.Trace(err)
	}
	config.RuntimeParams["application_name"] = followerApplication
	pg, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() {
		closeCtx, cancel := context.WithTimeout(context.Background(), followRetryDelay)
		defer cancel()
		_ = pg.Close(closeCtx)
	}()
	results, err := pg.Exec(ctx, "STANDIN HISTORY").ReadAll()
	if err != nil {
		return errors.Trace(err)
	}
	var remote []timeline
	if err := json.Unmarshal(results[0].Rows[0][0], &remote); err != nil {
		return errors.Trace(err)
	}
	s.freeze.waitThawed()
	if len(remote) == 0 || !s.store.rewind(remote) {
		return errors.New("the other instance is behind")
	}
	term, at := s.store.receivedPosition()
	return s.receiveLog(pg.Exec(ctx, fmt.Sprintf("STANDIN LOG FROM %d %d", term, at)))
}

func (s *Server) receiveLog(stream *pgconn.MultiResultReader) error {
	for stream.NextResult() {
		rows := stream.ResultReader()
		for rows.NextRow() {
			var r record
			if err := json.Unmarshal(rows.Values()[0], &r); err != nil {
				return errors.Trace(err)
			}
			s.freeze.waitThawed()
			s.store.receive(r)
		}
	}
	return errors.Trace(stream.Close())
}

// applyLoop applies each received record once its replication lag has passed.
func (s *Server) applyLoop() {
	for s.ctx.Err() == nil {
		s.freeze.waitThawed()
		wait, changed := s.store.applyDue()
		var due <-chan time.Time
		if wait > 0 {
			due = time.After(wait)
		}
		select {
		case <-due:
		case <-changed:
		case <-s.ctx.Done():
		}
	}
}
