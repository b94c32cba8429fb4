package helm

import (
	"github.com/fxamacker/cbor/v2"
	"github.com/google/uuid"

	"sesamecleat/src/archive"
	"sesamecleat/src/manifest"
)

// DiskRecord is what a process keeps about itself in its data folder.
type DiskRecord struct {
	// DiskID names the data folder since it was made.
	DiskID string
	// Incarnation is the last one used.
	Incarnation uint64
	// Founders maps the voters to their disks as of the first log; empty while this disk holds none.
	Founders map[string]string
	// JoinedLog says that this disk takes part in the log.
	JoinedLog bool
}

type wireDisk struct {
	_           struct{} `cbor:",toarray"`
	Disk        string
	Incarnation uint64
	Founders    map[string]string
	Founded     bool
}

// SaveDisk syncs the record of the process.
func (h *Kernel) SaveDisk(d DiskRecord) error {
	h.Disk = d
	if h.Store == nil {
		return nil
	}
	b, err := cbor.Marshal(wireDisk{Disk: d.DiskID, Incarnation: d.Incarnation, Founders: d.Founders, Founded: d.JoinedLog})
	if err != nil {
		return Error.Wrap(err)
	}
	return h.Store.SaveProcessRecord(b)
}

// openStore opens the data folder, if there is one, and takes the next incarnation.
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
	var w wireDisk
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
