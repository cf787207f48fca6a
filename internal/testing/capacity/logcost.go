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

// entries measures restarts in the log: draining, gone and a new announcement.
var entries = probe{
	name: "log entries", per: "restart", sizes: []int{100, 200, 400, 800},
	labels: []label{
		{RestartEntries, "entries of a restart in the log", unitBytes},
		{RestartApply, "applying the entries and one view, 3,250 agents", unitSeconds},
		{EntrySave, "elapsed time to save the entries one by one with fsync", unitSeconds},
		{SaveBytes, "files of the log", unitBytes},
	},
	run: func(_ context.Context, size int) ([]float64, error) {
		state, err := populated(targetAgents / 8)
		if err != nil {
			return nil, err
		}

		before, began := state.bytes, processorTime()

		for i := range size {
			state.restart(i)
		}

		applying := processorTime() - began
		written := state.bytes - before

		elapsed, stored, err := saved(3*size, written/(3*size))
		if err != nil {
			return nil, err
		}

		return []float64{float64(written), applying, elapsed, stored}, nil
	},
}

// snapshots measures the whole state of a controller, with one version of the
// document. Saving is elapsed time on this machine's disk.
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
		// The first call fills the cache, which is no part of the catalog.
		if _, err := populated(size); err != nil {
			return nil, err
		}

		var (
			state  *journal
			failed error
		)

		memory := memoryOf(func() *view.View {
			state, failed = populated(size)

			return state.state.View(catalog.Trial)
		})
		if failed != nil {
			return nil, failed
		}

		encoded, err := state.state.Snapshot()
		if err != nil {
			return nil, err
		}

		elapsed, err := savedSnapshot(encoded)
		if err != nil {
			return nil, err
		}

		return []float64{
			float64(len(encoded)),
			seconds(func() { _, err = state.state.Snapshot() }),
			seconds(func() { err = newJournal().state.Restore(encoded) }),
			elapsed,
			memory,
		}, err
	},
}

// populatedStates holds the snapshots of populated catalogs by their agents:
// the signatures of 26,000 announcements take seconds.
var populatedStates sync.Map

// populated returns a catalog with the given number of agents, and services in
// proportion.
func populated(agents int) (*journal, error) {
	known, ok := populatedStates.Load(agents)
	if !ok {
		encoded, err := populate(agents).state.Snapshot()
		if err != nil {
			return nil, err
		}

		known, _ = populatedStates.LoadOrStore(agents, encoded)
	}

	made := newJournal()
	made.index = uint64(agents) + 3 // the document's three entries come first

	return made, made.state.Restore(known.([]byte))
}

func populate(agents int) *journal {
	services := max(1, agents*targetServices/targetAgents)
	made := newJournal()
	made.accept(catalog.Trial, documentOf(services, true, 0))

	for i := range agents {
		made.apply(announceOf(i, services, 0))
	}

	return made
}

func announceOf(number, services, boot int) catalog.Command {
	announce := catalog.Announce{
		Environment: catalog.Trial, Role: catalog.RoleAgent, Service: serviceOf(number % services).Name,
		Zone: zone(number), DataAddress: address(1<<20+number, 7000), PeerAddress: address(1<<20+number, 7001),
	}
	binary.BigEndian.PutUint64(announce.Boot[:], uint64(number+1))
	binary.BigEndian.PutUint64(announce.Boot[8:], uint64(boot))
	announce.Signature = ed25519.Sign(keyOf(9), announce.SignedText())

	return catalog.Command{Announce: &announce}
}

// restart drains, removes and announces the agent with the given number.
func (j *journal) restart(number int) {
	agent := j.state.View(catalog.Trial).Agents()[0]

	for _, phase := range []catalog.Phase{catalog.PhaseDraining, catalog.PhaseRemoved} {
		j.apply(catalog.Command{Leave: &catalog.Leave{
			Environment: catalog.Trial, Incarnation: agent.Incarnation, Phase: phase,
		}})
	}

	j.apply(announceOf(number, 1, 1))
}

// saved returns the time to save entries one by one and the size of the files.
func saved(count, length int) (elapsed, stored float64, err error) {
	err = inDirectory(func(directory string) error {
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
		stored, err = sizeOf(directory)

		return firstError(err, log.Close())
	})

	return elapsed, stored, err
}

func savedSnapshot(data []byte) (elapsed float64, err error) {
	err = inDirectory(func(directory string) error {
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

// inDirectory runs a function with a directory that is removed afterwards.
func inDirectory(use func(directory string) error) error {
	directory, err := os.MkdirTemp("", "jayspindle-capacity-")
	if err != nil {
		return err
	}

	return firstError(use(directory), os.RemoveAll(directory))
}

func sizeOf(directory string) (float64, error) {
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
