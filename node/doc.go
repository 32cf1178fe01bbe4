// Package node holds every decision of the system as two pure reducers, Entry
// and Control. A reducer takes one Event and returns Effects; it does no I/O,
// reads no clock, starts no goroutine and draws no random numbers but from the
// seed it was given. The same events give the same effects in the same order.
//
// To drive a reducer from outside, feed it events whose Now never goes back,
// carry out the effects in their order, and feed back what came of them. Each
// effect says which inputs it may lead to. Nothing else is needed: no daemon,
// no network and no files.
package node
