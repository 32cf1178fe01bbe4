package wal

import (
	"encoding/binary"
	"os"

	"github.com/juju/errors"
)

// bbolt trusts the pages of its file: an element whose offset or length was
// altered makes it read, and hand to the runtime, memory that is not its own.
// So every page in use is looked at before the file is opened.
const (
	pageHeader    = 16
	elementBytes  = 16
	bucketBytes   = 16
	pageIsBranch  = 0x01
	pageIsLeaf    = 0x02
	pageIsFree    = 0x10
	elementBucket = 0x01
	manyFree      = 0xffff
	noFreeList    = ^uint64(0)
	firstPage     = 2
	maxPageDepth  = 64
)

// pages is the log's file while it is looked at.
type pages struct {
	data []byte
	size uint64
	// end is the number of the first page that was never used.
	end  uint64
	seen map[uint64]bool
}

// checkPages refuses a file in which a page in use reaches out of itself, names
// a page that can't be, or is used twice.
func checkPages(path string, size int64) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return errors.Trace(err)
	}
	p := &pages{data: data, size: uint64(size), seen: map[uint64]bool{}}
	root, free := p.head()
	if err := p.walk(root, 0); err != nil {
		return err
	}
	return p.checkFree(free)
}

// head reads the newer head, which checkHeads found whole.
func (p *pages) head() (root, free uint64) {
	newest := uint64(0)
	for n := range uint64(2) {
		h := p.data[n*p.size+headOffset:]
		if t := binary.NativeEndian.Uint64(h[48:]); n == 0 || t > newest {
			newest = t
			root = binary.NativeEndian.Uint64(h[16:])
			free = binary.NativeEndian.Uint64(h[32:])
			p.end = binary.NativeEndian.Uint64(h[40:])
		}
	}
	return root, free
}

// page returns the bytes of a page with those that it overflows to.
func (p *pages) page(id uint64) ([]byte, error) {
	if id < firstPage || id >= p.end || (id+1)*p.size > uint64(len(p.data)) {
		return nil, errors.Annotatef(ErrCorrupt, "page %d is out of the file", id)
	}
	b := p.data[id*p.size:]
	more := uint64(binary.NativeEndian.Uint32(b[12:]))
	if binary.NativeEndian.Uint64(b) != id || id+more >= p.end || (more+1)*p.size > uint64(len(b)) {
		return nil, errors.Annotatef(ErrCorrupt, "page %d has a bad header", id)
	}
	for n := id; n <= id+more; n++ {
		if p.seen[n] {
			return nil, errors.Annotatef(ErrCorrupt, "page %d is used twice", n)
		}
		p.seen[n] = true
	}
	return b[:(more+1)*p.size], nil
}

func (p *pages) walk(id uint64, depth int) error {
	b, err := p.page(id)
	if err != nil {
		return err
	}
	if depth > maxPageDepth {
		return errors.Annotatef(ErrCorrupt, "page %d is too deep", id)
	}
	return errors.Annotatef(p.elements(b, depth), "page %d", id)
}

// elements looks at all elements of a page, also of one inside a value.
func (p *pages) elements(b []byte, depth int) error {
	kind := binary.NativeEndian.Uint16(b[8:])
	count := int(binary.NativeEndian.Uint16(b[10:]))
	if (kind != pageIsBranch && kind != pageIsLeaf) || pageHeader+count*elementBytes > len(b) {
		return errors.Annotate(ErrCorrupt, "bad kind or count")
	}
	for n := range count {
		e := b[pageHeader+n*elementBytes:]
		var err error
		if kind == pageIsBranch {
			err = p.branch(e, depth)
		} else {
			err = p.leaf(e, depth)
		}
		if err != nil {
			return err
		}
	}
	return nil
}

func (p *pages) branch(e []byte, depth int) error {
	at, key := binary.NativeEndian.Uint32(e), binary.NativeEndian.Uint32(e[4:])
	if uint64(at)+uint64(key) > uint64(len(e)) {
		return errors.Annotate(ErrCorrupt, "a key reaches out of the page")
	}
	return p.walk(binary.NativeEndian.Uint64(e[8:]), depth+1)
}

func (p *pages) leaf(e []byte, depth int) error {
	kind, at := binary.NativeEndian.Uint32(e), uint64(binary.NativeEndian.Uint32(e[4:]))
	key, value := uint64(binary.NativeEndian.Uint32(e[8:])), uint64(binary.NativeEndian.Uint32(e[12:]))
	if at+key+value > uint64(len(e)) {
		return errors.Annotate(ErrCorrupt, "a value reaches out of the page")
	}
	if kind&elementBucket == 0 {
		return nil
	}
	return p.bucket(e[at+key:at+key+value], depth)
}

// bucket looks at a bucket's own pages, or at the one inside its value.
func (p *pages) bucket(v []byte, depth int) error {
	if len(v) < bucketBytes {
		return errors.Annotate(ErrCorrupt, "a bucket is cut")
	}
	if root := binary.NativeEndian.Uint64(v); root != 0 {
		return p.walk(root, depth+1)
	}
	if len(v) < bucketBytes+pageHeader {
		return errors.Annotate(ErrCorrupt, "a bucket is cut")
	}
	return p.elements(v[bucketBytes:], depth+1)
}

// checkFree looks at the list of free pages.
func (p *pages) checkFree(id uint64) error {
	if id == noFreeList {
		return nil
	}
	b, err := p.page(id)
	if err != nil {
		return err
	}
	if binary.NativeEndian.Uint16(b[8:]) != pageIsFree {
		return errors.Annotatef(ErrCorrupt, "page %d is no list of free pages", id)
	}
	list, count := b[pageHeader:], uint64(binary.NativeEndian.Uint16(b[10:]))
	if count == manyFree {
		count, list = binary.NativeEndian.Uint64(list), list[8:]
	}
	if count > uint64(len(list))/8 {
		return errors.Annotatef(ErrCorrupt, "page %d lists more than it holds", id)
	}
	for n := range count {
		if f := binary.NativeEndian.Uint64(list[8*n:]); f < firstPage || f >= p.end || p.seen[f] {
			return errors.Annotatef(ErrCorrupt, "page %d lists page %d as free", id, f)
		}
	}
	return nil
}
