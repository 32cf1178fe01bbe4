// Package capacity measures how the costs of each role grow with the size of the
// system, and extrapolates them linearly to the size that the project is designed
// for.
//
// It drives the reducers of packages node and quorum in virtual time within one
// process. Messages are encoded by package link, so that byte counts are those of
// frames. The inputs of an entry are recorded and replayed into new reducers, so
// that the measured processor time is that of the reducer without the simulation.
package capacity
