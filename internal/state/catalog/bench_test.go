package catalog

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/view"
)

const (
	targetServices = 6700
	targetAgents   = 26_000
)

// newTargetSizeLog returns a log whose catalog has 6,700 services, 26,000 agents
// and the given number of versions.
func newTargetSizeLog(b *testing.B, versions int) *commandLog {
	b.Helper()

	l := newCommandLog(b)
	for version := range versions {
		l.mustAccept(Trial, newDocument(targetServices, fmt.Sprintf("version %d", version)))
	}

	for i := range targetAgents {
		l.mustApply(announceCommand(fmt.Sprintf("s%d", i%targetServices), i, uint64(i)))
	}

	return l
}

func BenchmarkViewAfterOneChange(b *testing.B) {
	l := newTargetSizeLog(b, 1)
	l.state.View(Trial)
	b.ReportAllocs()

	weight := uint8(0)
	for b.Loop() {
		weight = (weight + 1) % view.MaxWeight
		l.apply(Command{SetWeight: &SetWeight{Environment: Trial, Incarnation: 12_000, Weight: weight}})
		l.state.View(Trial)
	}
}

func BenchmarkApplySetWeight(b *testing.B) {
	l := newTargetSizeLog(b, 1)
	commands := [2][]byte{}
	for i := range commands {
		commands[i] = l.encode(Command{SetWeight: &SetWeight{Environment: Trial, Incarnation: 12_000, Weight: uint8(i)}})
	}

	for b.Loop() {
		l.index++
		l.state.Apply(l.index, commands[l.index%2])
	}
}

func BenchmarkApplyAnnounce(b *testing.B) {
	l := newTargetSizeLog(b, 1)
	number := uint64(targetAgents)

	for b.Loop() {
		b.StopTimer()
		number++
		encoded := l.encode(announceCommand("s7", int(number%targetAgents), number))
		l.index++
		b.StartTimer()
		l.state.Apply(l.index, encoded)
	}
}

func BenchmarkAcceptDocument(b *testing.B) {
	l := newTargetSizeLog(b, 1)
	version := 0

	for b.Loop() {
		version++
		l.mustAccept(Trial, newDocument(targetServices, fmt.Sprintf("change %d", version)))
		l.state.View(Trial)
	}
}

func BenchmarkSnapshot(b *testing.B) {
	l := newTargetSizeLog(b, 256)
	encoded := takeSnapshot(b, l.state)

	b.Run("encode", func(b *testing.B) {
		for b.Loop() {
			takeSnapshot(b, l.state)
		}

		b.ReportMetric(float64(len(encoded)), "bytes")
	})

	b.Run("restore", func(b *testing.B) {
		state := newCatalog(b)
		for b.Loop() {
			is.New(b).NoErr(state.Restore(encoded))
		}
	})
}
