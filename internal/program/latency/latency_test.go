package latency_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/program/latency"
)

// TestSummary guards against quantiles in the wrong unit, and against values that
// are lost because they are out of range.
func TestSummary(t *testing.T) {
	is := is.New(t)
	histogram := latency.New()

	for milliseconds := range 100 {
		histogram.Observe(time.Duration(milliseconds+1) * time.Millisecond)
	}

	summary := histogram.Summary()
	is.Equal(summary.Count, int64(100))
	is.True(summary.P50 > 45 && summary.P50 < 55)
	is.True(summary.P99 > 90 && summary.P99 < 110)

	histogram.Observe(time.Hour)
	histogram.Observe(-time.Second)
	is.Equal(histogram.Summary().Count, int64(102))
	is.True(histogram.Summary().Max >= 59_000)
}
