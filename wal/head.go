package wal

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"

	"github.com/juju/errors"
)

// The file begins with two pages that each hold a head (bbolt's meta page).
// bbolt writes them alternately. If one of them is corrupt, bbolt silently uses
// the other one, which may be the older. All values are in bytes.
const (
	// headOffset is relative to the page; the other offsets are relative to the
	// head.
	headOffset         = 16
	headChecksumOffset = 56
	headBytes          = headChecksumOffset + checksumBytes
	pageSizeOffset     = 8
	minPageBytes       = 512
	maxPageBytes       = 1 << 16
)

// checkHeads returns ErrCorrupt for a file with a corrupt head, since the
// silent fallback to the older head could undo a granted vote. A head fits into
// one disk sector, so a crash can't leave it half written.
func checkHeads(path string) error {
	f, err := os.Open(path)
	if os.IsNotExist(err) {
		return nil
	}
	if err != nil {
		return errors.Trace(err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return errors.Trace(err)
	}
	if info.Size() == 0 {
		return nil
	}
	pageBytes, err := checkHead(f, 0)
	if err != nil {
		return errors.Trace(err)
	}
	if _, err = checkHead(f, pageBytes); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(checkPages(path, pageBytes))
}

// checkHead checks the head of the page at an offset and returns the page size
// in bytes.
func checkHead(f io.ReaderAt, offset int64) (int64, error) {
	var head [headBytes]byte
	if _, err := f.ReadAt(head[:], offset+headOffset); err != nil {
		return 0, errors.Annotatef(ErrCorrupt, "head at %d: %v", offset, err)
	}
	sum := fnv.New64a()
	// Writing to the hash never fails.
	_, _ = sum.Write(head[:headChecksumOffset])
	if sum.Sum64() != binary.NativeEndian.Uint64(head[headChecksumOffset:]) {
		return 0, errors.Annotatef(ErrCorrupt, "head at %d: checksum does not match", offset)
	}
	pageBytes := int64(binary.NativeEndian.Uint32(head[pageSizeOffset:]))
	if pageBytes < minPageBytes || pageBytes > maxPageBytes {
		return 0, errors.Annotatef(ErrCorrupt, "head at %d: invalid page size of %d bytes", offset, pageBytes)
	}
	return pageBytes, nil
}
