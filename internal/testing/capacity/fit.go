package capacity

import (
	"context"

	"github.com/sourcegraph/conc/pool"

	"jayspindle/internal/testing/measure"
)

// ID names a figure in formulas.
type ID string

// Line is the straight line fitted to the values of one repetition.
type Line struct {
	Slope     float64 `json:"slope"`
	Intercept float64 `json:"intercept"`
}

// At returns the value of the line at a size.
func (l Line) At(size float64) float64 { return l.Intercept + l.Slope*size }

// Figure is one measured figure: its lines and the spread of their slopes.
type Figure struct {
	ID        ID              `json:"id"`
	Name      string          `json:"name"`
	Unit      string          `json:"unit"`
	Per       string          `json:"per"`
	Sizes     []int           `json:"sizes"`
	Values    [][]float64     `json:"values"` // by repetition and size
	Lines     []Line          `json:"lines"`  // by repetition
	Slope     measure.Summary `json:"slope"`
	Intercept measure.Summary `json:"intercept"`
	// Fit is the lowest coefficient of determination of the lines.
	Fit float64 `json:"fit"`
}

// Fit returns the least-squares line through the points and its coefficient of
// determination. It needs at least two different sizes.
func Fit(sizes []int, values []float64) (Line, float64) {
	count := float64(len(sizes))

	var sumX, sumY float64
	for i, size := range sizes {
		sumX += float64(size)
		sumY += values[i]
	}

	meanX, meanY := sumX/count, sumY/count

	var covariance, varianceX, varianceY float64
	for i, size := range sizes {
		x, y := float64(size)-meanX, values[i]-meanY
		covariance += x * y
		varianceX += x * x
		varianceY += y * y
	}

	line := Line{Slope: covariance / varianceX}
	line.Intercept = meanY - line.Slope*meanX

	if varianceY == 0 {
		return line, 1
	}

	return line, covariance * covariance / varianceX / varianceY
}

// add fits a line to the values of one repetition. values has a row for each
// size and a column for each figure of the probe.
func (f *Figure) add(sizes []int, values [][]float64, column int) {
	series := make([]float64, len(sizes))
	for i := range sizes {
		series[i] = values[i][column]
	}

	line, fit := Fit(sizes, series)

	if len(f.Lines) == 0 || fit < f.Fit {
		f.Fit = fit
	}

	f.Sizes = sizes
	f.Values = append(f.Values, series)
	f.Lines = append(f.Lines, line)
}

func (f *Figure) summarize() {
	slopes := make([]float64, len(f.Lines))
	intercepts := make([]float64, len(f.Lines))

	for i, line := range f.Lines {
		slopes[i], intercepts[i] = line.Slope, line.Intercept
	}

	f.Slope, f.Intercept = measure.Summarize(slopes), measure.Summarize(intercepts)
}

// sweep runs the probe once at each size.
func (p probe) sweep(ctx context.Context, sizes []int) ([][]float64, error) {
	values := make([][]float64, len(sizes))

	concurrency := 1
	if p.concurrent {
		concurrency = len(sizes)
	}

	group := pool.New().WithMaxGoroutines(concurrency).WithErrors().WithFirstError()

	for i, size := range sizes {
		group.Go(func() error {
			if err := ctx.Err(); err != nil {
				return err
			}

			var err error
			values[i], err = p.run(ctx, size)

			return err
		})
	}

	return values, group.Wait()
}
