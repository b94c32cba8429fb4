package archive

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"
	"runtime/debug"
)

// The layout of bbolt's two meta pages: a page header, fields, and the FNV-1a hash of the fields.
const (
	metaPages           = 2
	pageHeaderSize      = 16 // bytes
	metaFieldsSize      = 56 // bytes
	metaPageCountOffset = 40 // bytes
	metaMagic           = 0xED0CDAED
	metaPageSize        = pageHeaderSize + metaFieldsSize + checksumSize
)

// recoverFaults calls f and returns a CorruptionError if bbolt panics or faults on corrupt pages.
func recoverFaults(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = CorruptionError.New("%v", p)
		}
	}()
	return f()
}

// verifyMetaPages verifies both meta pages. bbolt silently falls back to the older one if the newer is corrupt, and so loses
// the last synced write. A crash cannot tear a meta page, because each lies within one sector.
func verifyMetaPages(path string) error {
	f, err := os.Open(path)
	if err != nil {
		return Error.Wrap(err)
	}
	defer f.Close()
	info, err := f.Stat()
	if err != nil {
		return Error.Wrap(err)
	}
	for i := range metaPages {
		page := make([]byte, metaPageSize)
		if _, err := f.ReadAt(page, int64(i*os.Getpagesize())); err != nil {
			if err == io.EOF {
				return CorruptionError.New("%s ends within meta page %d", path, i)
			}
			return Error.Wrap(err)
		}
		if !isIntactMeta(page[pageHeaderSize:]) {
			return CorruptionError.New("%s: meta page %d does not match its checksum", path, i)
		}
		pages := binary.LittleEndian.Uint64(page[pageHeaderSize+metaPageCountOffset:])
		if need := int64(pages) * int64(os.Getpagesize()); info.Size() < need {
			return CorruptionError.New("%s has %d bytes; %d are expected", path, info.Size(), need)
		}
	}
	return nil
}

func isIntactMeta(meta []byte) bool {
	sum := fnv.New64a()
	_, _ = sum.Write(meta[:metaFieldsSize]) // cannot fail
	return binary.LittleEndian.Uint32(meta) == metaMagic && binary.LittleEndian.Uint64(meta[metaFieldsSize:]) == sum.Sum64()
}
