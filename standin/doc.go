// Package standin is a small in-memory database that speaks the PostgreSQL
// protocol. Tests and measurements run it where a real group would stand: it
// has terms, a log, asynchronous replication, promotion, slots and limits.
package standin
