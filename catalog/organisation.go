package catalog

import (
	"crypto/sha256"
	"strings"
)

// OrganisationID is the name of an organisation: a group of callers that shares
// keys, a limit and its connections to upstreams. It is empty where callers
// belong to no organisation.
type OrganisationID string

// KeyDigest identifies a key of an organisation. Processes hold digests in place
// of keys, so that no list of theirs can be used to connect. The digest needs no
// salt, since keys are random.
type KeyDigest [16]byte

// keyDigestPrefix separates digests of keys from other digests of the same text.
const keyDigestPrefix = "kingcupknot key\x00"

// DigestKey returns the digest of a key.
func DigestKey(key string) KeyDigest {
	sum := sha256.Sum256([]byte(keyDigestPrefix + key))
	return KeyDigest(sum[:len(KeyDigest{})])
}

// Organisation is the accepted configuration of one organisation.
type Organisation struct {
	ID OrganisationID `cbor:"1,keyasint" json:"id"`
	// Keys are the digests of the keys that identify callers of the
	// organisation, sorted. Invariant: no two organisations share one.
	Keys []KeyDigest `cbor:"2,keyasint" json:"-"`
	// Priority orders organisations for load shedding, 0 first.
	Priority int `cbor:"3,keyasint,omitempty" json:"priority"`
	// Rate is the number of operations per second that the organisation's
	// callers may run at all entries together, and Burst the number that they may
	// run at once. A Rate of zero means no limit.
	Rate  float64 `cbor:"4,keyasint,omitempty" json:"rate"`
	Burst float64 `cbor:"5,keyasint,omitempty" json:"burst"`
}

// Compare orders organisations by id.
func (o Organisation) Compare(p Organisation) int {
	return strings.Compare(string(o.ID), string(p.ID))
}
