package archive

import (
	"encoding/binary"
	"hash/fnv"
	"io"
	"os"
	"runtime/debug"
)

// The form of the storage library's two meta pages: a page header, fields, and the FNV-1a hash of the fields.
const (
	metaPages     = 2
	pageHeader    = 16 // bytes
	metaFields    = 56 // bytes
	metaPagesAt   = 40 // bytes
	metaMagic     = 0xED0CDAED
	metaPageBytes = pageHeader + metaFields + sumSize
)

// guard turns a panic or a fault of the library over damaged pages into an error.
func guard(f func() error) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			err = CorruptionError.New("%v", p)
		}
	}()
	return f()
}

// checkMetas verifies both meta pages. The library falls back to the older one when the newer is damaged, and so
// forgets the last synced write without a word; as each lies within one sector, a crash tears neither.
func checkMetas(path string) error {
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
		page := make([]byte, metaPageBytes)
		if _, err := f.ReadAt(page, int64(i*os.Getpagesize())); err != nil {
			if err == io.EOF {
				return CorruptionError.New("%s ends within meta page %d", path, i)
			}
			return Error.Wrap(err)
		}
		if !intactMeta(page[pageHeader:]) {
			return CorruptionError.New("%s: meta page %d does not match its checksum", path, i)
		}
		pages := binary.LittleEndian.Uint64(page[pageHeader+metaPagesAt:])
		if need := int64(pages) * int64(os.Getpagesize()); info.Size() < need {
			return CorruptionError.New("%s has %d bytes; %d are expected", path, info.Size(), need)
		}
	}
	return nil
}

func intactMeta(meta []byte) bool {
	sum := fnv.New64a()
	_, _ = sum.Write(meta[:metaFields]) // cannot fail
	return binary.LittleEndian.Uint32(meta) == metaMagic && binary.LittleEndian.Uint64(meta[metaFields:]) == sum.Sum64()
}
