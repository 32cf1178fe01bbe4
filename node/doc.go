// Package node implements all decisions of the system as two deterministic
// state machines, the reducers Entry and Control. A reducer takes one Event at
// a time and returns a list of Effects. It does no I/O, reads no clock, starts
// no goroutine and draws random numbers only from the seed it was given. The
// same events give the same effects in the same order.
//
// The program around a reducer, called the shell in this package, feeds events
// with a clock that never goes backwards, executes the effects in their order,
// and reports their results as further events. The comment on each effect names
// the events that may follow it. A reducer needs no daemon, network or files,
// so tests can run it in virtual time.
package node
