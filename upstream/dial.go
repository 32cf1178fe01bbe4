package upstream

import (
	"context"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
)

// loginParams is how an upstream is connected to.
type loginParams struct {
	Address         string
	User            string
	Password        string
	Database        string
	ApplicationName string
}

// dialAndHijack connects, authenticates and gives up the library's hold on the
// connection, which is idle then.
func dialAndHijack(ctx context.Context, l loginParams) (*pgconn.HijackedConn, error) {
	conn, err := connectAndLogin(ctx, l)
	if err != nil {
		return nil, err
	}
	if err := conn.SyncConn(ctx); err != nil {
		return nil, err
	}
	return conn.Hijack()
}

// connectAndLogin connects and authenticates.
func connectAndLogin(ctx context.Context, l loginParams) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(l.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "address %q of the upstream", l.Address)
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, errors.Annotatef(err, "port of the upstream %q", l.Address)
	}
	config, err := pgconn.ParseConfig("host=127.0.0.1 sslmode=disable user=kingcupknot")
	if err != nil {
		return nil, errors.Annotate(err, "settings of the connection")
	}
	config.Host, config.Port = host, uint16(portNumber)
	config.User, config.Password, config.Database = l.User, l.Password, l.Database
	config.Fallbacks = nil
	config.TLSConfig = nil
	config.ValidateConnect, config.AfterConnect = nil, nil
	config.RuntimeParams = map[string]string{"application_name": l.ApplicationName, "client_encoding": "UTF8"}
	return pgconn.ConnectConfig(ctx, config)
}
