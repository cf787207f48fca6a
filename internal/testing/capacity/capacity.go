// Package capacity measures the resource usage of each role of the system and
// extrapolates it to the target size of the design page.
//
// A probe measures one part of the system at four or more sizes, several
// times. Each repetition is fitted with a least-squares line. A Row evaluates
// its formula once for each repetition, so that its value includes the spread
// of the measurements.
//
// # Usage
//
//	report, err := capacity.Run(ctx, capacity.Options{Progress: os.Stderr})
//	err = report.WriteTables(os.Stdout)
//
// Processor time is measured for the whole process, so nothing else may run in
// it. All sockets are on loopback. A complete run opens about a thousand sockets.
package capacity

import (
	"context"
	"fmt"
	"io"
	"time"
)

// Options configures a run.
type Options struct {
	// Quick measures at an eighth of the sizes with two repetitions. It checks
	// that the measurements work; its figures are no basis for planning.
	Quick bool
	// Progress receives one line for each probe that finishes later than two
	// seconds into the run. It may be nil.
	Progress io.Writer
}

const (
	repetitions      = 3
	quickRepetitions = 2
	quickDivisor     = 8

	// progressDelay is the run time after which progress is reported.
	progressDelay = 2 * time.Second
)

// Report is the result of a run.
type Report struct {
	Quick       bool      `json:"quick"`
	Go          string    `json:"go"`
	Cores       int       `json:"cores"`
	Repetitions int       `json:"repetitions"`
	Duration    float64   `json:"duration_seconds"`
	PeakMemory  float64   `json:"peak_memory_bytes"` // resident
	Figures     []*Figure `json:"figures"`
	Rows        []Row     `json:"rows"`
}

// Run runs all probes and calculates the rows. It takes several minutes.
func Run(ctx context.Context, options Options) (*Report, error) {
	began := time.Now()
	report := newReport(options)

	for i, probe := range probes {
		figures, err := probe.measure(ctx, options.Quick, report.Repetitions)
		if err != nil {
			return nil, newError("measure "+probe.name, KindProbe, err)
		}

		report.Figures = append(report.Figures, figures...)

		if elapsed := time.Since(began); options.Progress != nil && elapsed > progressDelay {
			fmt.Fprintf(options.Progress, "%d of %d measurements after %s: %s\n",
				i+1, len(probes), elapsed.Round(time.Second), probe.name)
		}
	}

	report.derive()

	report.Duration = time.Since(began).Seconds()
	report.PeakMemory = peakMemory()

	return report, nil
}

// probes lists all measurements in the order in which they run.
var probes = []probe{
	views, changes, tables, forwardingState, documents, versions, logEntries, snapshots, leases, publishing,
	datagrams, serviceSockets, claims, calls, transfers, controlLinks, controlTraffic, callers,
}

// probe measures several figures at several sizes.
type probe struct {
	name  string
	per   string // unit of the size
	sizes []int
	// concurrent runs all sizes at the same time. It is set for probes that only
	// count bytes, which do not depend on the load of the machine.
	concurrent bool
	labels     []label
	run        func(ctx context.Context, size int) ([]float64, error) // a value for each label
}

// label describes one figure of a probe.
type label struct {
	id   ID
	name string
	unit string
}

func (p probe) measure(ctx context.Context, quick bool, repetitions int) ([]*Figure, error) {
	figures := make([]*Figure, len(p.labels))
	for i, label := range p.labels {
		figures[i] = &Figure{ID: label.id, Name: label.name, Unit: label.unit, Per: p.per}
	}

	for range repetitions {
		values, err := p.sweep(ctx, p.scaledSizes(quick))
		if err != nil {
			return nil, err
		}

		for i, figure := range figures {
			figure.add(p.scaledSizes(quick), values, i)
		}
	}

	for _, figure := range figures {
		figure.summarize()
	}

	return figures, nil
}

func (p probe) scaledSizes(quick bool) []int {
	sizes := make([]int, len(p.sizes))
	for i, size := range p.sizes {
		sizes[i] = size
		if quick {
			sizes[i] = max(i+1, size/quickDivisor)
		}
	}

	return sizes
}
