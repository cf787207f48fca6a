// Package latency records durations in a histogram and reports their quantiles.
//
// # Usage
//
//	replyTimes := latency.New()
//	replyTimes.Observe(elapsed)
//	summary := replyTimes.Summary() // for expvar
package latency

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxTime is longer than the longest request deadline of the deployments.
	maxTime = 60 * time.Second

	// significantFigures makes quantiles accurate to 10% and takes 10 KB.
	significantFigures = 1
)

// Summary holds the quantiles of a histogram in milliseconds.
type Summary struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P90   float64 `json:"p90_ms"`
	P99   float64 `json:"p99_ms"`
	Max   float64 `json:"max_ms"`
}

// Histogram counts durations. It is safe for concurrent use.
type Histogram struct {
	mutex     sync.Mutex
	histogram *hdrhistogram.Histogram
}

// New returns an empty histogram.
func New() *Histogram {
	return &Histogram{histogram: hdrhistogram.New(1, maxTime.Microseconds(), significantFigures)}
}

// Observe counts a duration. A duration of more than a minute counts as a minute.
func (h *Histogram) Observe(elapsed time.Duration) {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	bounded := min(max(elapsed, time.Microsecond), maxTime)
	if err := h.histogram.RecordValue(bounded.Microseconds()); err != nil {
		panic(err) // the value is within the range of the histogram
	}
}

// Summary returns the quantiles of all durations since the start of the process.
func (h *Histogram) Summary() Summary {
	h.mutex.Lock()
	defer h.mutex.Unlock()

	quantile := func(percent float64) float64 { return milliseconds(h.histogram.ValueAtQuantile(percent)) }

	return Summary{
		Count: h.histogram.TotalCount(), P50: quantile(50), P90: quantile(90), P99: quantile(99),
		Max: milliseconds(h.histogram.Max()),
	}
}

func milliseconds(microseconds int64) float64 { return float64(microseconds) / 1000 }
