// Package report reads the decisions that entries log and adds them up by window of
// time and by service, site, VM, database, upstream or organisation.
package report
