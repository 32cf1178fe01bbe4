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

// location is where a value is stored in the file.
type location struct {
	bucket string
	key    []byte
}

// String returns the bucket and key. A record's key is shown as its index.
func (p location) String() string {
	if p.bucket == "" {
		return "file head"
	}
	if p.bucket == bucketRecords && len(p.key) == recordKeyBytes {
		return fmt.Sprintf("bucket %s, key %d", p.bucket, recordIndex(p.key))
	}
	return fmt.Sprintf("bucket %q, key %q", p.bucket, p.key)
}

// checksum covers the location too, so that a value moved to another key is
// detected.
func (p location) checksum(body []byte) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(p.bucket), {0}, p.key, {0}, body} {
		// Writing to the digest never fails.
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// encodeWithChecksum encodes a value and puts its checksum in front.
func encodeWithChecksum(p location, value any) ([]byte, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return append(binary.BigEndian.AppendUint64(nil, p.checksum(body)), body...), nil
}

// decodeWithChecksum decodes a value. It returns ErrCorrupt if the checksum
// does not match.
func decodeWithChecksum(p location, encoded []byte, value any) error {
	if len(encoded) < checksumBytes {
		return errors.Annotatef(ErrCorrupt, "value of only %d bytes", len(encoded))
	}
	body := encoded[checksumBytes:]
	if binary.BigEndian.Uint64(encoded) != p.checksum(body) {
		return errors.Annotate(ErrCorrupt, "checksum does not match")
	}
	if err := cbor.Unmarshal(body, value); err != nil {
		return errors.Annotatef(ErrCorrupt, "%v", err)
	}
	return nil
}

// recoverFaults runs f and adds the path and the location p, which f sets, to
// its error. It returns ErrCorrupt if bbolt panics or faults in the mapped file
// because of a corrupt page.
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
