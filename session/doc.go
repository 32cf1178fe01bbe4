// Package session implements the sessions of callers: open transactions,
// session values, prepared statements, and the requests that a session submits
// to an entry. It is independent of the wire protocol: a CallerConn delivers
// decoded statements, and a Dialect formats the statements that the proxy
// itself sends to upstreams.
package session
