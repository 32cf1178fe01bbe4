package wal

import (
	"encoding/binary"
	"os"

	"github.com/juju/errors"
)

// bbolt does not validate the pages of its file: an altered offset or length
// makes it read memory outside the page and pass it to the runtime. So every
// page in use is checked before the file is opened.
const (
	pageHeaderBytes   = 16
	elementBytes      = 16
	bucketHeaderBytes = 16
	pageIsBranch      = 0x01
	pageIsLeaf        = 0x02
	pageIsFree        = 0x10
	elementBucket     = 0x01
	freeCountOverflow = 0xffff
	noFreeList        = ^uint64(0)
	firstDataPage     = 2
	maxPageDepth      = 64
)

// pageChecker checks the pages of a log's file.
type pageChecker struct {
	data      []byte
	pageBytes uint64
	// pageEnd is the number of the first page that was never used.
	pageEnd uint64
	// seen are the numbers of the pages found in use so far.
	seen map[uint64]bool
}

// checkPages returns ErrCorrupt if a page in use refers to data outside of it,
// names an invalid page, or is used twice.
func checkPages(path string, pageBytes int64) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Trace(err)
	}
	p := &pageChecker{data: data, pageBytes: uint64(pageBytes), seen: map[uint64]bool{}}
	root, freeList := p.readNewestHead()
	if err := p.checkPage(root, 0); err != nil {
		return err
	}
	return p.checkFreeList(freeList)
}

// readNewestHead reads the newer of the two heads, which checkHeads has
// verified. It sets pageEnd and returns the page numbers of the root bucket and
// of the list of free pages.
func (p *pageChecker) readNewestHead() (root, freeList uint64) {
	newest := uint64(0)
	for n := range uint64(2) {
		h := p.data[n*p.pageBytes+headOffset:]
		if t := binary.NativeEndian.Uint64(h[48:]); n == 0 || t > newest {
			newest = t
			root = binary.NativeEndian.Uint64(h[16:])
			freeList = binary.NativeEndian.Uint64(h[32:])
			p.pageEnd = binary.NativeEndian.Uint64(h[40:])
		}
	}
	return root, freeList
}

// claimPage returns a page with its overflow pages and marks them as used.
func (p *pageChecker) claimPage(id uint64) ([]byte, error) {
	if id < firstDataPage || id >= p.pageEnd || (id+1)*p.pageBytes > uint64(len(p.data)) {
		return nil, errors.Annotatef(ErrCorrupt, "page %d lies outside the file", id)
	}
	b := p.data[id*p.pageBytes:]
	overflow := uint64(binary.NativeEndian.Uint32(b[12:]))
	if binary.NativeEndian.Uint64(b) != id || id+overflow >= p.pageEnd || (overflow+1)*p.pageBytes > uint64(len(b)) {
		return nil, errors.Annotatef(ErrCorrupt, "page %d has a bad header", id)
	}
	for n := id; n <= id+overflow; n++ {
		if p.seen[n] {
			return nil, errors.Annotatef(ErrCorrupt, "page %d is used twice", n)
		}
		p.seen[n] = true
	}
	return b[:(overflow+1)*p.pageBytes], nil
}

func (p *pageChecker) checkPage(id uint64, depth int) error {
	b, err := p.claimPage(id)
	if err != nil {
		return err
	}
	if depth > maxPageDepth {
		return errors.Annotatef(ErrCorrupt, "page %d is nested too deeply", id)
	}
	return errors.Annotatef(p.checkElements(b, depth), "page %d", id)
}

// checkElements checks all elements of a page. The page may be an inline bucket
// stored in a value.
func (p *pageChecker) checkElements(b []byte, depth int) error {
	kind := binary.NativeEndian.Uint16(b[8:])
	count := int(binary.NativeEndian.Uint16(b[10:]))
	if (kind != pageIsBranch && kind != pageIsLeaf) || pageHeaderBytes+count*elementBytes > len(b) {
		return errors.Annotate(ErrCorrupt, "bad kind or count")
	}
	for n := range count {
		e := b[pageHeaderBytes+n*elementBytes:]
		var err error
		if kind == pageIsBranch {
			err = p.checkBranch(e, depth)
		} else {
			err = p.checkLeaf(e, depth)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *pageChecker) checkBranch(e []byte, depth int) error {
	keyOffset, keyBytes := binary.NativeEndian.Uint32(e), binary.NativeEndian.Uint32(e[4:])
	if uint64(keyOffset)+uint64(keyBytes) > uint64(len(e)) {
		return errors.Annotate(ErrCorrupt, "a key extends beyond the page")
	}
	return p.checkPage(binary.NativeEndian.Uint64(e[8:]), depth+1)
}

func (p *pageChecker) checkLeaf(e []byte, depth int) error {
	kind, keyOffset := binary.NativeEndian.Uint32(e), uint64(binary.NativeEndian.Uint32(e[4:]))
	keyBytes, valueBytes := uint64(binary.NativeEndian.Uint32(e[8:])), uint64(binary.NativeEndian.Uint32(e[12:]))
	if keyOffset+keyBytes+valueBytes > uint64(len(e)) {
		return errors.Annotate(ErrCorrupt, "a value extends beyond the page")
	}
	if kind&elementBucket == 0 {
		return nil
	}
	return p.checkBucket(e[keyOffset+keyBytes:keyOffset+keyBytes+valueBytes], depth)
}

// checkBucket checks a bucket's pages, or its inline page.
func (p *pageChecker) checkBucket(v []byte, depth int) error {
	if len(v) < bucketHeaderBytes {
		return errors.Annotate(ErrCorrupt, "a bucket is truncated")
	}
	if root := binary.NativeEndian.Uint64(v); root != 0 {
		return p.checkPage(root, depth+1)
	}
	if len(v) < bucketHeaderBytes+pageHeaderBytes {
		return errors.Annotate(ErrCorrupt, "a bucket is truncated")
	}
	return p.checkElements(v[bucketHeaderBytes:], depth+1)
}

// checkFreeList checks the list of free pages. All pages in use must already be
// marked in seen.
func (p *pageChecker) checkFreeList(id uint64) error {
	if id == noFreeList {
		return nil
	}
	b, err := p.claimPage(id)
	if err != nil {
		return err
	}
	if binary.NativeEndian.Uint16(b[8:]) != pageIsFree {
		return errors.Annotatef(ErrCorrupt, "page %d is not a list of free pages", id)
	}
	list, count := b[pageHeaderBytes:], uint64(binary.NativeEndian.Uint16(b[10:]))
	if count == freeCountOverflow {
		count, list = binary.NativeEndian.Uint64(list), list[8:]
	}
	if count > uint64(len(list))/8 {
		return errors.Annotatef(ErrCorrupt, "page %d lists more free pages than fit into it", id)
	}
	for n := range count {
		if f := binary.NativeEndian.Uint64(list[8*n:]); f < firstDataPage || f >= p.pageEnd || p.seen[f] {
			return errors.Annotatef(ErrCorrupt, "page %d lists page %d as free", id, f)
		}
	}
	return nil
}
