package sesamecleat

import (
	"fmt"

	"sesamecleat/src/archive"
	"sesamecleat/src/chart"
	"sesamecleat/src/pilot"
)

func runState(c *command, args []string) int {
	folder := c.flags.String("data", "", "data folder of a process that is stopped")
	file := c.flags.String("file", "", "file to write a backup to, or to restore from")
	words, code, ok := c.parse(args)
	if !ok {
		return code
	}
	if len(words) != 1 || *folder == "" {
		return c.usageError("one of show, verify, backup, restore and -data FOLDER are expected")
	}
	needsFile := words[0] == "backup" || words[0] == "restore"
	if needsFile && *file == "" {
		return c.usageError("%s takes -file FILE", words[0])
	}
	var err error
	switch words[0] {
	case "show":
		err = showState(c, *folder, true)
	case "verify":
		err = showState(c, *folder, false)
	case "backup":
		err = backupState(*folder, *file)
	case "restore":
		err = archive.Restore(*folder, *file)
	default:
		return c.usageError("%q is not one of show, verify, backup, restore", words[0])
	}
	if err != nil {
		fmt.Fprintf(c.stderr, "sesamecleat: %v\n", err)
		return ExitFault
	}
	if needsFile {
		fmt.Fprintf(c.stdout, "%s: done\n", words[0])
	}
	return ExitOK
}

func backupState(folder, file string) error {
	store, err := archive.OpenExisting(folder)
	if err != nil {
		return err
	}
	defer closeStore(store)
	return store.Backup(file)
}

// showState verifies a data folder whole, and prints what is in it if asked to.
func showState(c *command, folder string, whole bool) error {
	store, err := archive.OpenExisting(folder)
	if err != nil {
		return err
	}
	defer closeStore(store)
	disk, err := store.RaftState()
	if err != nil {
		return err
	}
	tables, err := store.Tables()
	if err != nil {
		return err
	}
	if !whole {
		fmt.Fprintf(c.stdout, "%s: no damage found in %d bytes\n", folder, store.Size())
		return nil
	}
	printDisk(c, disk)
	printTables(c, tables)
	return nil
}

func closeStore(s *archive.Store) { _ = s.Close() } // it was only read

func printDisk(c *command, d pilot.PersistentState) {
	last := d.Snapshot.Index + uint64(len(d.Entries))
	fmt.Fprintf(c.stdout, "log: term %d, snapshot at %d, last entry %d\n", d.HardState.Term, d.Snapshot.Index, last)
}

func printTables(c *command, t *chart.Tables) {
	fmt.Fprintf(c.stdout, "tables served: revision %d, %d routes, %d pools\n", t.Revision(), len(t.Routes()), len(t.Pools()))
	for _, r := range t.Routes() {
		fmt.Fprintf(c.stdout, "  route %s -> %s, revision %d by %q\n", r.Route.Name, r.Route.Pool, r.Revision, r.Author)
	}
	for _, p := range t.Pools() {
		fmt.Fprintf(c.stdout, "  pool %s, revision %d by %q\n", p.Pool.Name, p.Revision, p.Author)
	}
}
