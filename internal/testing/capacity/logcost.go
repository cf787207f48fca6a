package capacity

import (
	"context"
	"crypto/ed25519"
	"encoding/binary"
	"os"
	"sync"
	"time"

	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/view"
	"jayspindle/internal/state/wal"
)

// The figures of the replicated log.
const (
	RestartEntries ID = "restart entries"
	RestartApply   ID = "restart apply"
	EntrySave      ID = "entry save"
	SaveBytes      ID = "save bytes"

	SnapshotBytes   ID = "snapshot bytes"
	SnapshotEncode  ID = "snapshot encode"
	SnapshotRestore ID = "snapshot restore"
	SnapshotSave    ID = "snapshot save"
	CatalogMemory   ID = "catalog memory"
)

// logEntries measures the log entries of restarts: draining, gone and a new
// announcement.
var logEntries = probe{
	name: "log entries", per: "restart", sizes: []int{100, 200, 400, 800},
	labels: []label{
		{RestartEntries, "entries of a restart in the log", unitBytes},
		{RestartApply, "applying the entries and one view, 3,250 agents", unitSeconds},
		{EntrySave, "elapsed time to save the entries one by one with fsync", unitSeconds},
		{SaveBytes, "files of the log", unitBytes},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		log, err := populatedCatalog(targetAgents / 8)
		if err != nil {
			return nil, err
		}

		bytesBefore, began := log.bytes, processorTime()

		for i := range size {
			log.restartAgent(i)
		}

		applyTime := processorTime() - began
		entryBytes := log.bytes - bytesBefore

		elapsed, fileBytes, err := saveEntries(3*size, entryBytes/(3*size))
		if err != nil {
			return nil, err
		}

		return []float64{float64(entryBytes), applyTime, elapsed, fileBytes}, nil
	},
}

// snapshots measures snapshots of a controller's state, which includes one version
// of the document. Saving is measured as elapsed time on the local disk.
var snapshots = probe{
	name: "snapshots", per: "agent", sizes: agentSizes,
	labels: []label{
		{SnapshotBytes, "snapshot", unitBytes},
		{SnapshotEncode, "encoding a snapshot", unitSeconds},
		{SnapshotRestore, "restoring a snapshot", unitSeconds},
		{SnapshotSave, "elapsed time to save a snapshot with fsync", unitSeconds},
		{CatalogMemory, "live memory of the catalog with its view", unitBytes},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		// The first call fills populatedSnapshots, which must not count as memory of
		// the catalog.
		if _, err := populatedCatalog(size); err != nil {
			return nil, err
		}

		var (
			log         *commandLog
			populateErr error
		)

		memory := retainedMemory(func() *view.View {
			log, populateErr = populatedCatalog(size)

			return log.catalog.View(catalog.Trial)
		})
		if populateErr != nil {
			return nil, populateErr
		}

		encoded, err := log.catalog.Snapshot()
		if err != nil {
			return nil, err
		}

		elapsed, err := saveSnapshot(encoded)
		if err != nil {
			return nil, err
		}

		return []float64{
			float64(len(encoded)),
			secondsPerRun(func() { _, err = log.catalog.Snapshot() }),
			secondsPerRun(func() { err = newCommandLog().catalog.Restore(encoded) }),
			elapsed,
			memory,
		}, err
	},
}

// populatedSnapshots caches the snapshots of populated catalogs by their number of
// agents, because signing 26,000 announcements takes seconds.
var populatedSnapshots sync.Map

// populatedCatalog returns a log whose catalog has the given number of agents, and
// services in proportion to the target size.
func populatedCatalog(agents int) (*commandLog, error) {
	cached, ok := populatedSnapshots.Load(agents)
	if !ok {
		encoded, err := populate(agents).catalog.Snapshot()
		if err != nil {
			return nil, err
		}

		cached, _ = populatedSnapshots.LoadOrStore(agents, encoded)
	}

	log := newCommandLog()
	log.index = uint64(agents) + 3 // the submission of the document and its two signatures come first

	return log, log.catalog.Restore(cached.([]byte))
}

func populate(agents int) *commandLog {
	services := max(1, agents*targetServices/targetAgents)
	log := newCommandLog()
	log.acceptDocument(catalog.Trial, makeDocument(services, true, 0))

	for i := range agents {
		log.apply(announceCommand(i, services, 0))
	}

	return log
}

func announceCommand(number, services, boot int) catalog.Command {
	announce := catalog.Announce{
		Environment: catalog.Trial, Role: catalog.RoleAgent, Service: makeService(number % services).Name,
		Zone: zoneName(number), DataAddress: address(1<<20+number, 7000), PeerAddress: address(1<<20+number, 7001),
	}
	binary.BigEndian.PutUint64(announce.Boot[:], uint64(number+1))
	binary.BigEndian.PutUint64(announce.Boot[8:], uint64(boot))
	announce.Signature = ed25519.Sign(signingKey(9), announce.SignedText())

	return catalog.Command{Announce: &announce}
}

// restartAgent drains, removes and announces again the agent with the given
// number. Agents must be restarted in the order of their numbers, because it takes
// the first agent of the view, which has the oldest incarnation.
func (l *commandLog) restartAgent(number int) {
	agent := l.catalog.View(catalog.Trial).Agents()[0]

	for _, phase := range []catalog.Phase{catalog.PhaseDraining, catalog.PhaseRemoved} {
		l.apply(catalog.Command{Leave: &catalog.Leave{
			Environment: catalog.Trial, Incarnation: agent.Incarnation, Phase: phase,
		}})
	}

	l.apply(announceCommand(number, 1, 1))
}

// saveEntries returns the elapsed time to save entries one by one and the size of
// the files.
func saveEntries(count, length int) (elapsed, fileBytes float64, err error) {
	err = withTempDirectory(func(directory string) error {
		log, err := wal.Open(directory)
		if err != nil {
			return err
		}

		began := time.Now()

		for i := range count {
			entry := wal.Entry{Index: uint64(i + 1), Term: 1, Kind: wal.EntryCommand, Data: make([]byte, length)}
			if err := log.Save(nil, []wal.Entry{entry}); err != nil {
				return err
			}
		}

		elapsed = time.Since(began).Seconds()
		fileBytes, err = directorySize(directory)

		return firstError(err, log.Close())
	})

	return elapsed, fileBytes, err
}

func saveSnapshot(data []byte) (elapsed float64, err error) {
	err = withTempDirectory(func(directory string) error {
		log, err := wal.Open(directory)
		if err != nil {
			return err
		}

		began := time.Now()
		err = log.SaveSnapshot(&wal.Snapshot{Index: 1, Term: 1, Data: data})
		elapsed = time.Since(began).Seconds()

		return firstError(err, log.Close())
	})

	return elapsed, err
}

// withTempDirectory calls run with a temporary directory, which it removes
// afterwards.
func withTempDirectory(run func(directory string) error) error {
	directory, err := os.MkdirTemp("", "jayspindle-capacity-")
	if err != nil {
		return err
	}

	return firstError(run(directory), os.RemoveAll(directory))
}

func directorySize(directory string) (float64, error) {
	files, err := os.ReadDir(directory)
	if err != nil {
		return 0, err
	}

	total := 0.0

	for _, file := range files {
		info, err := file.Info()
		if err != nil {
			return 0, err
		}

		total += float64(info.Size())
	}

	return total, nil
}

func firstError(errs ...error) error {
	for _, err := range errs {
		if err != nil {
			return err
		}
	}

	return nil
}
