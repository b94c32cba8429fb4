package helm

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"sesamecleat/src/archive"
	"sesamecleat/src/manifest"
)

// DiskRecord is what a process stores about itself in its data folder.
type DiskRecord struct {
	// DiskID identifies the data folder; it is set when the folder is first used.
	DiskID string
	// Incarnation is the last incarnation used.
	Incarnation uint64
	// Founders maps each initial voter to its disk when the log was founded; empty on a disk that did not found the log.
	Founders map[string]string
	// JoinedLog reports that this disk takes part in the log.
	JoinedLog bool
}

type wireDiskRecord struct {
	_           struct{} `cbor:",toarray"`
	Disk        string
	Incarnation uint64
	Founders    map[string]string
	Founded     bool
}

// SaveDisk writes the record to the data folder and syncs it.
func (h *Kernel) SaveDisk(d DiskRecord) error {
	h.Disk = d
	if h.Store == nil {
		return nil
	}
	b, err := cbor.Marshal(wireDiskRecord{Disk: d.DiskID, Incarnation: d.Incarnation, Founders: d.Founders, Founded: d.JoinedLog})
	if err != nil {
		return Error.Wrap(err)
	}
	return h.Store.SaveProcessRecord(b)
}

// openStore opens the data folder, if one is configured, and takes the next incarnation.
func (h *Kernel) openStore() error {
	now := uint64(h.Clock.Now().UnixMilli())
	h.Incarnation = now
	if h.Settings.DataDir == "" || h.Settings.Has(manifest.Registry) {
		return nil
	}
	store, err := archive.Open(h.Settings.DataDir)
	if err != nil {
		return err
	}
	h.Store = store
	d, err := loadDisk(store)
	if err != nil {
		h.closeStore()
		return err
	}
	h.Incarnation = max(now, d.Incarnation+1)
	d.Incarnation = h.Incarnation
	if err := h.SaveDisk(d); err != nil {
		h.closeStore()
		return err
	}
	return nil
}

func loadDisk(store *archive.Store) (DiskRecord, error) {
	b, err := store.ProcessRecord()
	if err != nil {
		return DiskRecord{}, err
	}
	if b == nil {
		return DiskRecord{DiskID: uuid.NewString()}, nil
	}
	var w wireDiskRecord
	if err := cbor.Unmarshal(b, &w); err != nil {
		return DiskRecord{}, archive.CorruptionError.Wrap(err)
	}
	return DiskRecord{DiskID: w.Disk, Incarnation: w.Incarnation, Founders: w.Founders, JoinedLog: w.Founded}, nil
}

func (h *Kernel) closeStore() {
	if h.Store != nil {
		_ = h.Store.Close()
	}
}
