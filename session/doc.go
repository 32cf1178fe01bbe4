// Package session holds the conversation with a caller: its transaction, its
// values and prepared statements, and the requests that it makes of an entry.
// It knows no wire protocol. A Link brings decoded statements and a Dialect
// writes those of the system's own.
package session
