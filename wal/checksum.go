package wal

import (
	"encoding/binary"
	"fmt"
	"runtime/debug"

	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"
	"github.com/juju/errors"
)

const (
	checksumBytes  = 8
	recordKeyBytes = 8
)

// location is where in the file a value stands.
type location struct {
	bucket string
	key    []byte
}

// String names the key, a record's by its index.
func (p location) String() string {
	if p.bucket == "" {
		return "file head"
	}
	if p.bucket == bucketRecords && len(p.key) == recordKeyBytes {
		return fmt.Sprintf("bucket %s, key %d", p.bucket, recordIndex(p.key))
	}
	return fmt.Sprintf("bucket %q, key %q", p.bucket, p.key)
}

// checksum covers the place too, so that a value can't pass for another one's.
func (p location) checksum(body []byte) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(p.bucket), {0}, p.key, {0}, body} {
		// A digest takes all that it is given.
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// encodeWithChecksum encodes a value behind its check.
func encodeWithChecksum(p location, value any) ([]byte, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return append(binary.BigEndian.AppendUint64(nil, p.checksum(body)), body...), nil
}

// decodeWithChecksum decodes a value if its check holds.
func decodeWithChecksum(p location, sealed []byte, value any) error {
	if len(sealed) < checksumBytes {
		return errors.Annotatef(ErrCorrupt, "only %d bytes", len(sealed))
	}
	body := sealed[checksumBytes:]
	if binary.BigEndian.Uint64(sealed) != p.checksum(body) {
		return errors.Annotate(ErrCorrupt, "check does not match")
	}
	if err := cbor.Unmarshal(body, value); err != nil {
		return errors.Annotatef(ErrCorrupt, "%v", err)
	}
	return nil
}

// recoverFaults turns what bbolt does about a damaged page, a panic or a fault in the
// mapped file, into an error that says where it was.
func recoverFaults(path string, p *location, f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if r := recover(); r != nil {
			err = errors.Annotatef(ErrCorrupt, "write-ahead log %s, %s: %v", path, p, r)
		}
	}()
	if err := f(); err != nil {
		return errors.Annotatef(err, "write-ahead log %s, %s", path, p)
	}
	return nil
}
