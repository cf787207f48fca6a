// Package latency counts how long something took and tells the quantiles.
//
// # Usage
//
//	answers := latency.New()
//	answers.Observe(elapsed)
//	summary := answers.Summary() // for expvar
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// highest is above the longest time budget of the deployments.
	highest = 60 * time.Second

	// figures keeps quantiles exact to 10%, in 10 KB.
	figures = 1
)

// Summary is what a histogram tells. Times are in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Histogram is safe for concurrent use.
type Histogram struct {
	mutex  sync.Mutex
	counts *hdrhistogram.Histogram
}

// New returns an empty histogram.
func New() *Histogram {
	return &Histogram{counts: hdrhistogram.New(1, highest.Microseconds(), figures)}
}

// Observe counts a time. Times beyond a minute count as a minute.
func (h *Histogram) Observe(elapsed time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	bounded := min(max(elapsed, time.Microsecond), highest)
	if err := h.counts.RecordValue(bounded.Microseconds()); err != nil {
		panic(err) // the value is within the range of the histogram
	}
}

// Summary returns the quantiles since the start of the process.
func (h *Histogram) Summary() Summary {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	quantile := func(percent float64) float64 { return milliseconds(h.counts.ValueAtQuantile(percent)) }

	return Summary{
		Count: h.counts.TotalCount(), P50: quantile(50), P90: quantile(90), P99: quantile(99),
		Max: milliseconds(h.counts.Max()),
	}
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
