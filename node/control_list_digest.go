package node

import (
	"strconv"
	"strings"

	"github.com/cespare/xxhash/v2"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// A new leader counts revisions of its own, so that it could not tell which
// upstreams an entry has from an earlier leader, and would send each of 300 entries
// 3,600 upstreams again. The mark of a complete list therefore names a digest of the
// list, too, behind the name of the leader. An entry returns the mark as it got it,
// and a leader of an earlier build takes it for that of another leader.

// digestSeparator separates the leader's name from the digest.
const digestSeparator = " "

// maxListDigests bounds the digests that a leader remembers.
const maxListDigests = 4096

// ballotSeparator separates the leader's name from the ballot in which it leads.
const ballotSeparator = "#"

// listLeader names this leader in the marks of its lists. The ballot is part of the
// name: revisions start again when a VM has rebooted, and revisions of its earlier
// lead must not count.
func (c *Control) listLeader() catalog.VMID {
	if c.leaderName == "" {
		c.leaderName = c.options.VM + catalog.VMID(ballotSeparator+strconv.FormatUint(uint64(c.quorum.Ballot()), 16))
	}
	return c.leaderName
}

func listName(vm catalog.VMID, digest uint64) catalog.VMID {
	if digest == 0 {
		return vm
	}
	return vm + catalog.VMID(digestSeparator+strconv.FormatUint(digest, 16))
}

// splitListName returns the leader's name and the digest, zero if there is none.
func splitListName(name catalog.VMID) (catalog.VMID, uint64) {
	at := strings.LastIndex(string(name), digestSeparator)
	if at < 0 {
		return name, 0
	}
	digest, err := strconv.ParseUint(string(name[at+len(digestSeparator):]), 16, 64)
	if err != nil {
		return name, 0
	}
	return name[:at], digest
}

// updateListDigest updates the digest of the list after a change of an upstream. It
// is the sum of the hashes of all upstreams, so that it does not depend on their
// order. Upstreams that are leaving count too: without them, the list after an
// upstream has left would be taken for the list before the upstream came.
func (c *Control) updateListDigest(u *upstreamView) {
	c.listDigest -= u.digest
	u.digest = hashOfUpstream(u.announcement)
	c.listDigest += u.digest
	if c.revisionByDigest == nil || len(c.revisionByDigest) >= maxListDigests {
		c.revisionByDigest = map[uint64]uint64{}
	}
	c.revisionByDigest[c.listDigest] = c.revision
}

// hashOfUpstream covers what is sent to entries whenever it changes.
func hashOfUpstream(a catalog.Announcement) uint64 {
	var buffer [256]byte
	key := buffer[:0]
	for _, part := range []string{string(a.Service), string(a.Instance), a.Address, string(a.Site)} {
		key = append(append(key, part...), 0)
	}
	key = strconv.AppendUint(key, a.Incarnation, 16)
	key = strconv.AppendInt(append(key, 0), int64(a.Slots), 16)
	if a.Leaving {
		key = append(key, "leaving"...)
	}
	return xxhash.Sum64(key)
}
