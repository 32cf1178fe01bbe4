// Package standin is a small in-memory database that speaks the PostgreSQL
// protocol. Tests and measurements run it in place of a group of PostgreSQL
// instances. It has terms, a log, asynchronous replication, promotion, and
// limits on connections and on concurrent statements.
package standin
