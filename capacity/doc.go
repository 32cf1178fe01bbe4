// Package capacity measures what one role costs as the system grows, and works
// out from the slopes what it costs at the size that the project designs for.
//
// It drives the reducers of packages node and quorum in virtual time within
// one process. Every message passes the codec of package link, so that bytes
// are those of the frames. A run is recorded and replayed into fresh reducers
// to time them alone.
package capacity
