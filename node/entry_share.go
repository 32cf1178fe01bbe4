package node

// equalShare returns the number of the upstream's connections for each entry if
// all entries get the same number; peers is the number of other entries.
func (i *entryInstance) equalShare(peers int) int {
	l := i.service.settings.Limits
	return max((l.Connections-l.Reserved)/(peers+1), 1)
}
