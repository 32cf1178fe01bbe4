package node

// equalShare returns the number of the upstream's connections for each entry if
// all entries get the same number. The number of other entries is peers.
func (i *entryInstance) equalShare(peers int) int {
	l := i.service.settings.Limits
	return max((l.Connections-l.Reserved)/(peers+1), 1)
}
