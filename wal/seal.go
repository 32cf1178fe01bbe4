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
	sumBytes       = 8
	recordKeyBytes = 8
)

// place is where in the file a value stands.
type place struct {
	bucket string
	key    []byte
}

// String names the key, a record's by its index.
func (p place) String() string {
	if p.bucket == "" {
		return "file head"
	}
	if p.bucket == bucketRecords && len(p.key) == recordKeyBytes {
		return fmt.Sprintf("bucket %s, key %d", p.bucket, recordIndex(p.key))
	}
	return fmt.Sprintf("bucket %q, key %q", p.bucket, p.key)
}

// sum covers the place too, so that a value can't pass for another one's.
func (p place) sum(body []byte) uint64 {
	d := xxhash.New()
	for _, part := range [][]byte{[]byte(p.bucket), {0}, p.key, {0}, body} {
		// A digest takes all that it is given.
		_, _ = d.Write(part)
	}
	return d.Sum64()
}

// seal encodes a value behind its check.
func seal(p place, value any) ([]byte, error) {
	body, err := cbor.Marshal(value)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return append(binary.BigEndian.AppendUint64(nil, p.sum(body)), body...), nil
}

// unseal decodes a value if its check holds.
func unseal(p place, sealed []byte, value any) error {
	if len(sealed) < sumBytes {
		return errors.Annotatef(ErrCorrupt, "only %d bytes", len(sealed))
	}
	body := sealed[sumBytes:]
	if binary.BigEndian.Uint64(sealed) != p.sum(body) {
		return errors.Annotate(ErrCorrupt, "check does not match")
	}
	if err := cbor.Unmarshal(body, value); err != nil {
		return errors.Annotatef(ErrCorrupt, "%v", err)
	}
	return nil
}

// guard turns what bbolt does about a damaged page, a panic or a fault in the
// mapped file, into an error that says where it was.
func guard(path string, p *place, f func() error) (err error) {
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
