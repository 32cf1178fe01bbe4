package node

// equalShare is one entry's part if all entries keep the same number of the
// upstream's connections. Peers counts the other entries.
func (i *entryInstance) equalShare(peers int) int {
	l := i.service.settings.Limits
	return max((l.Connections-l.Reserved)/(peers+1), 1)
}
