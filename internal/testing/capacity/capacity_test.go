package capacity

import (
	"bytes"
	"math"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/protocol/connid"
	"jayspindle/internal/state/view"
	"jayspindle/internal/testing/measure"
)

// Guards against wrong slopes, intercepts and coefficients of determination.
func TestFit(t *testing.T) {
	for name, test := range map[string]struct {
		values []float64
		want   Line
		fit    float64
	}{
		"rising":   {[]float64{5, 7, 9, 11}, Line{Slope: 2, Intercept: 3}, 1},
		"constant": {[]float64{4, 4, 4, 4}, Line{Slope: 0, Intercept: 4}, 1},
		"noisy":    {[]float64{6, 6, 10, 10}, Line{Slope: 1.6, Intercept: 4}, 0.8},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			line, fit := Fit([]int{1, 2, 3, 4}, test.values)
			is.True(math.Abs(line.Slope-test.want.Slope) < 1e-9)         // slope
			is.True(math.Abs(line.Intercept-test.want.Intercept) < 1e-9) // intercept
			is.True(math.Abs(fit-test.fit) < 1e-9)                       // coefficient of determination
		})
	}
}

// Guards against the verdict Fits for a row of which a repetition exceeds the
// limit.
func TestJudge(t *testing.T) {
	is := is.New(t)
	value := measure.Summary{Lowest: 2, Median: 3, Highest: 4}

	is.Equal(compareToLimit(value, 4), Fits)
	is.Equal(compareToLimit(value, 3.9), WithinSpread)
	is.Equal(compareToLimit(value, 2), WithinSpread)
	is.Equal(compareToLimit(value, 1.9), DoesNotFit)
	is.Equal(compareToLimit(value, 0), NoLimit)
	is.Equal(compareToLimit(measure.Summary{Median: math.NaN(), Highest: math.NaN()}, 1), DoesNotFit)
}

// Guards against values that are printed in the wrong unit or scale.
func TestQuantity(t *testing.T) {
	is := is.New(t)

	for want, got := range map[string]string{
		"1.50 ms":         formatQuantity(0.0015, "s"),
		"0.250 ns":        formatQuantity(2.5e-10, "s"),
		"256 MB":          formatQuantity(256e6, "B"),
		"4.00 KB/s":       formatQuantity(4000, "B/s"),
		"4.40% of a core": formatQuantity(0.044, "core"),
		"11500000":        formatQuantity(11.5e6, ""),
		"0 ns":            formatQuantity(0, "s"),
	} {
		is.Equal(got, want)
	}
}

// Guards against formulas that use a figure that no probe measures, and against
// rows that are missing from the tables.
func TestDerive(t *testing.T) {
	is := is.New(t)
	report := newReport(Options{})

	for _, probe := range probes {
		is.True(len(probe.sizes) >= 4) // sizes of the probe

		for _, label := range probe.labels {
			figure := &Figure{ID: label.id, Name: label.name, Unit: label.unit, Per: probe.per}
			for i := range repetitions {
				figure.add(probe.sizes, linear(probe.sizes, float64(i+1)), 0)
			}

			figure.summarize()
			is.Equal(figure.Slope, measure.Summary{Median: 2, Lowest: 1, Highest: 3})

			report.Figures = append(report.Figures, figure)
		}
	}

	report.derive()
	is.True(len(report.Rows) > 50)

	var text bytes.Buffer
	is.NoErr(report.WriteTables(&text))

	for _, row := range report.Rows {
		is.True(strings.Contains(text.String(), "| "+row.Resource+" |")) // the row is in a table
		is.True(row.Value.Lowest <= row.Value.Median && row.Value.Median <= row.Value.Highest)
	}
}

func linear(sizes []int, slope float64) [][]float64 {
	values := make([][]float64, len(sizes))
	for i, size := range sizes {
		values[i] = []float64{slope * float64(size)}
	}

	return values
}

// Guards against probes that fail, and against values that are missing or do not
// fit their labels. The sizes are far below those of a run.
func TestProbes(t *testing.T) {
	for _, test := range []struct {
		probe probe
		size  int
	}{
		{views, 64},
		{forwardingState, 16},
		{documents, 8},
		{leases, 64},
		{serviceSockets, 4},
		{claims, 64},
		{calls, 4},
		{transfers, 1 << 20},
		{callers, 2},
	} {
		t.Run(test.probe.name, func(t *testing.T) {
			is := is.New(t)
			values, err := test.probe.run(t.Context(), test.size)
			is.NoErr(err)
			is.Equal(len(values), len(test.probe.labels))

			for i, value := range values {
				is.True(!math.IsNaN(value) && !math.IsInf(value, 0)) // a number for each label
				is.True(test.probe.labels[i].unit != unitBytes || value > 0 || test.probe.name == claims.name)
			}
		})
	}
}

// Guards against a figure that includes datagrams that were dropped instead of
// forwarded: dropping is cheaper.
func TestForwarded(t *testing.T) {
	is := is.New(t)
	contents := makeContents(100)

	for i := range contents.Agents {
		contents.Agents[i].Data = address(i, 7000)
	}

	_, err := measureForwarding(newBalancer(view.New(contents)), batchSize, func(int) (view.ServiceID, []byte) {
		return 1, make([]byte, connid.MinInitialDatagram) // neither a first packet nor a known connection ID
	})
	is.True(err != nil)
}
