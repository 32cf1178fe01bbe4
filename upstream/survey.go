package upstream

import (
	"context"
	"net"
	"strconv"
	"strings"
	"sync"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
	"github.com/kingcupknot/kingcupknot/wire"
)

// controlApplicationName is the application_name of control's connections.
const controlApplicationName = "kingcupknot-control"

// Placeholders in the texts of catalog.Statements.
const (
	termPlaceholder = "%TERM%"
	hostPlaceholder = "%HOST%"
	portPlaceholder = "%PORT%"
)

// Surveyor queries, promotes and redirects upstreams on behalf of control. It
// keeps one idle connection to each upstream for reuse.
type Surveyor struct {
	options Options

	mu sync.Mutex
	// idleConns holds the open connections that are not in use.
	idleConns map[target]*pgconn.PgConn
	// closed is true once Close has run.
	closed bool
}

// target identifies one upstream.
type target struct {
	Service catalog.ServiceID
	Address string
}

// NewSurveyor returns a Surveyor without connections.
func NewSurveyor(o Options) *Surveyor {
	return &Surveyor{options: o, idleConns: make(map[target]*pgconn.PgConn)}
}

// Survey queries the role and position of an upstream. If the query fails, it
// returns what the error says about the upstream's state.
func (s *Surveyor) Survey(
	ctx context.Context, service catalog.ServiceID, address string,
) (Status, wire.Evidence) {
	status, err := s.queryStatus(ctx, target{service, address})
	if err != nil {
		return Status{}, evidenceFromError(err)
	}
	return status, wire.EvidenceAlive
}

// Promote makes an upstream the primary of its group. It returns the upstream's
// log position and true if the upstream is a primary afterwards. Promoting a
// primary does nothing. The term after is the newest one known in the group.
func (s *Surveyor) Promote(
	ctx context.Context, service catalog.ServiceID, address string, after catalog.Term,
) (catalog.Position, bool) {
	t := target{service, address}
	text := strings.ReplaceAll(s.options.Statements.Promote, termPlaceholder, strconv.FormatUint(uint64(after), 10))
	// The role afterwards decides, not this error: the statement also fails if
	// its answer is lost or the upstream is a primary already.
	_, promoteErr := s.execWithReconnect(ctx, t, text)
	status, err := s.queryStatus(ctx, t)
	if err == nil && status.Role == catalog.RolePrimary {
		return status.Position, true
	}
	if promoteErr != nil {
		s.options.Log.Info("The promotion of an upstream failed.", "address", address, "error", promoteErr.Error())
	}
	return catalog.Position{}, false
}

// Follow makes an upstream replicate from the primary at the given address.
func (s *Surveyor) Follow(ctx context.Context, service catalog.ServiceID, address, primary string) error {
	host, port, err := net.SplitHostPort(primary)
	if err != nil {
		return errors.Annotatef(err, "split primary address %q", primary)
	}
	placeholders := strings.NewReplacer(hostPlaceholder, host, portPlaceholder, port)
	for _, text := range s.options.Statements.Follow {
		if _, err := s.execWithReconnect(ctx, target{service, address}, placeholders.Replace(text)); err != nil {
			return errors.Annotatef(err, "redirect upstream %s", address)
		}
	}
	return nil
}

// Forget closes the idle connection to an upstream that was removed.
func (s *Surveyor) Forget(service catalog.ServiceID, address string) {
	if conn := s.takeIdle(target{service, address}); conn != nil {
		closePgConn(conn)
	}
}

// Close closes all idle connections. Those in use are closed after their use.
func (s *Surveyor) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.closed = true
	for t, conn := range s.idleConns {
		delete(s.idleConns, t)
		go closePgConn(conn)
	}
}

func (s *Surveyor) queryStatus(ctx context.Context, t target) (Status, error) {
	row, err := s.execWithReconnect(ctx, t, s.options.Statements.Status)
	if err != nil {
		return Status{}, err
	}
	return ParseStatus(row)
}

// execWithReconnect runs a statement and returns its first row. If an idle
// connection turns out to be closed, it tries once more on a new one, as the
// upstream may have restarted.
func (s *Surveyor) execWithReconnect(ctx context.Context, t target, text string) ([][]byte, error) {
	if conn := s.takeIdle(t); conn != nil {
		row, err := s.exec(ctx, t, conn, text)
		if err == nil || !conn.IsClosed() || ctx.Err() != nil {
			return row, err
		}
	}
	conn, err := s.connect(ctx, t)
	if err != nil {
		return nil, err
	}
	return s.exec(ctx, t, conn, text)
}

// exec runs a statement and returns its first row, or nil if there is none. It
// keeps the connection for reuse unless the connection was closed.
func (s *Surveyor) exec(ctx context.Context, t target, conn *pgconn.PgConn, text string) ([][]byte, error) {
	results, err := conn.Exec(ctx, text).ReadAll()
	if conn.IsClosed() {
		return nil, err
	}
	s.putIdle(t, conn)
	if err != nil || len(results) == 0 || len(results[0].Rows) == 0 {
		return nil, err
	}
	return results[0].Rows[0], nil
}

func (s *Surveyor) connect(ctx context.Context, t target) (*pgconn.PgConn, error) {
	database := s.options.Database
	if database == "" {
		database = string(t.Service)
	}
	return connectAndLogin(ctx, loginParams{t.Address, s.options.User, s.options.Password, database, controlApplicationName})
}

func (s *Surveyor) takeIdle(t target) *pgconn.PgConn {
	s.mu.Lock()
	defer s.mu.Unlock()
	conn := s.idleConns[t]
	delete(s.idleConns, t)
	return conn
}

func (s *Surveyor) putIdle(t target, conn *pgconn.PgConn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.closed || s.idleConns[t] != nil {
		go closePgConn(conn)
		return
	}
	s.idleConns[t] = conn
}

func closePgConn(conn *pgconn.PgConn) {
	ctx, cancel := context.WithTimeout(context.Background(), cancelTimeout)
	defer cancel()
	_ = conn.Close(ctx)
}
