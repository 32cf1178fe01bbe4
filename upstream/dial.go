package upstream

import (
	"context"
	"net"
	"strconv"

	"github.com/jackc/pgx/v5/pgconn"
	"github.com/juju/errors"
)

// loginParams is the address of an upstream with the login for it.
type loginParams struct {
	Address         string
	User            string
	Password        string
	Database        string
	ApplicationName string
}

// dialAndHijack connects, authenticates and takes the idle connection over from
// pgconn.
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

// connectAndLogin opens a connection without TLS and authenticates. It uses no
// settings from the environment for the parameters that it sets.
func connectAndLogin(ctx context.Context, l loginParams) (*pgconn.PgConn, error) {
	host, port, err := net.SplitHostPort(l.Address)
	if err != nil {
		return nil, errors.Annotatef(err, "split upstream address %q", l.Address)
	}
	portNumber, err := strconv.ParseUint(port, 10, 16)
	if err != nil {
		return nil, errors.Annotatef(err, "parse port of upstream address %q", l.Address)
	}
	config, err := pgconn.ParseConfig("host=127.0.0.1 sslmode=disable user=kingcupknot")
	if err != nil {
		return nil, errors.Annotate(err, "parse connection settings")
	}
	config.Host, config.Port = host, uint16(portNumber)
	config.User, config.Password, config.Database = l.User, l.Password, l.Database
	config.Fallbacks = nil
	config.TLSConfig = nil
	config.ValidateConnect, config.AfterConnect = nil, nil
	config.RuntimeParams = map[string]string{"application_name": l.ApplicationName, "client_encoding": "UTF8"}
	return pgconn.ConnectConfig(ctx, config)
}
