package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
)

// retryFollow is the wait before a lost upstream is tried again.
const retryFollow = 50 * time.Millisecond

// Follow makes the instance a replica of the one at a PostgreSQL address. Its
// log is cut back to where the two histories part.
func (s *Server) Follow(address string) {
	s.stopFollowing()
	s.store.demote()
	s.follow(address)
	s.announceNow()
}

func (s *Server) follow(address string) {
	ctx, cancel := context.WithCancel(s.ctx)
	done := make(chan struct{})
	s.mu.Lock()
	s.unfollow, s.following = cancel, done
	s.conninfo, s.followed = address, address
	s.mu.Unlock()
	s.spawn(func() {
		defer close(done)
		for ctx.Err() == nil {
			_ = s.followOnce(ctx, address)
			_ = pause(ctx, retryFollow)
		}
	})
}

func (s *Server) stopFollowing() {
	s.mu.Lock()
	cancel, done := s.unfollow, s.following
	s.unfollow, s.following = nil, nil
	s.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

func (s *Server) setConninfo(address string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conninfo = address
}

// reload follows the address set last.
func (s *Server) reload() {
	s.mu.Lock()
	address := s.conninfo
	same := s.unfollow != nil && address == s.followed
	s.mu.Unlock()
	if address != "" && address != s.Address && !same {
		s.Follow(address)
	}
}

// followOnce streams another instance's log until it breaks.
func (s *Server) followOnce(ctx context.Context, address string) error {
	config, err := pgconn.ParseConfig("postgres://standin@" + address + "/standin?sslmode=disable")
	if err != nil {
		return errors.Trace(err)
	}
	config.RuntimeParams["application_name"] = followerName
	pg, err := pgconn.ConnectConfig(ctx, config)
	if err != nil {
		return errors.Trace(err)
	}
	defer func() {
		over, cancel := context.WithTimeout(context.Background(), retryFollow)
		defer cancel()
		_ = pg.Close(over)
	}()
	answer, err := pg.Exec(ctx, "STANDIN HISTORY").ReadAll()
	if err != nil {
		return errors.Trace(err)
	}
	var theirs []timeline
	if err := json.Unmarshal(answer[0].Rows[0][0], &theirs); err != nil {
		return errors.Trace(err)
	}
	s.gate.pass()
	if len(theirs) == 0 || !s.store.rewind(theirs) {
		return errors.New("the other instance is behind")
	}
	term, at := s.store.received()
	return s.takeLog(pg.Exec(ctx, fmt.Sprintf("STANDIN LOG FROM %d %d", term, at)))
}

func (s *Server) takeLog(stream *pgconn.MultiResultReader) error {
	for stream.NextResult() {
		rows := stream.ResultReader()
		for rows.NextRow() {
			var r record
			if err := json.Unmarshal(rows.Values()[0], &r); err != nil {
				return errors.Trace(err)
			}
			s.gate.pass()
			s.store.receive(r)
		}
	}
	return errors.Trace(stream.Close())
}

// applyAll applies received records as they fall due.
func (s *Server) applyAll() {
	for s.ctx.Err() == nil {
		s.gate.pass()
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
