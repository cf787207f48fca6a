package report

import (
	"context"
	"encoding/json"
	"encoding/xml"
	"errors"
	"io"
	"strings"
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/testing/measure"
)

// sampleMeasures returns the definitions of two measures.
func sampleMeasures() []Measure {
	return []Measure{
		{Name: "cost", Title: "Cost", Unit: "times", Target: atMost(1.3), decimals: 1},
		{Name: "kept", Title: "Kept", Unit: "%", Target: atLeast(99), decimals: 0},
	}
}

// fixedJob returns a job that reports the given value for each seed.
func fixedJob(measure, policy string, values ...float64) job {
	return job{name: measure + " " + policy, run: func(seed uint64) ([]observation, error) {
		return []observation{{measure, "crew-link", policy, values[seed-1]}}, nil
	}}
}

func mustRun(t *testing.T, measures []Measure, jobs ...job) *Report {
	t.Helper()

	result, err := run(t.Context(), Options{Seeds: 3, Workers: 2, Progress: io.Discard}, measures, jobs, nil)
	is.New(t).NoErr(err)

	return result
}

// Guards against a target that counts as met because of a good median or a good
// baseline, and against limits compared in the wrong direction.
func TestVerdict(t *testing.T) {
	result := mustRun(
		t, sampleMeasures(),
		fixedJob("cost", scheduler, 1.1, 1.4, 1.0), fixedJob("cost", firstCome, 1, 1, 1),
		fixedJob("kept", scheduler, 99, 100, 100), fixedJob("kept", firstCome, 0, 0, 0),
	)

	is := is.New(t)
	is.Equal(*result.Measures[0].Met, false)
	is.Equal(*result.Measures[0].Worst, 1.4)
	is.Equal(*result.Measures[1].Met, true)
	is.Equal(*result.Measures[1].Worst, 99.0)
	is.Equal(len(result.Missed()), 1)
	is.Equal(result.Measures[0].Figures[0].Median, 1.1)
}

// Guards against table cells in the column of another policy, and against a
// missed target that the text above the table does not report.
func TestTables(t *testing.T) {
	result := mustRun(
		t, sampleMeasures(), fixedJob("cost", scheduler, 1.1, 1.4, 1.0), fixedJob("cost", firstCome, 2, 2, 2),
	)

	var text strings.Builder

	is := is.New(t)
	is.NoErr(result.WriteTables(&text))
	is.True(strings.Contains(text.String(), "| times | scheduler (in use) | first come |"))
	is.True(strings.Contains(text.String(), "| crew-link | 1.1 (1.0 to 1.4) | 2.0 |"))
	is.True(strings.Contains(text.String(), "at most 1.3. It is **missed**; the worst seed has 1.4."))
}

// Guards against JSON that omits values or whether the target is met.
func TestJSON(t *testing.T) {
	result := mustRun(t, sampleMeasures(), fixedJob("cost", scheduler, 1.1, 1.4, 1.0))

	var (
		text    strings.Builder
		decoded Report
	)

	is := is.New(t)
	is.NoErr(result.WriteJSON(&text))
	is.NoErr(json.Unmarshal([]byte(text.String()), &decoded))
	is.Equal(decoded.Measures[0].Figures, result.Measures[0].Figures)
	is.Equal(*decoded.Measures[0].Met, false)
	is.Equal(decoded.Measures[1].Met, nil) // without figures, neither met nor missed
}

// Guards against a report whose order depends on which scenario ends first.
func TestOrder(t *testing.T) {
	fastDone := make(chan struct{})
	slow, fast := fixedJob("cost", scheduler, 1, 1, 1), fixedJob("cost", firstCome, 2, 2, 2)
	runSlow, runFast := slow.run, fast.run
	slow.run = func(seed uint64) ([]observation, error) {
		<-fastDone

		return runSlow(seed)
	}
	fast.run = func(seed uint64) ([]observation, error) {
		if seed == 3 {
			close(fastDone)
		}

		return runFast(seed)
	}

	result := mustRun(t, sampleMeasures(), slow, fast)
	is.New(t).Equal(result.Measures[0].policies(), []string{scheduler, firstCome})
}

// Guards against incomplete reports: a scenario that fails, is interrupted or
// reports an unknown measure must end the run with an error.
func TestErrors(t *testing.T) {
	broken := errors.New("broken")
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()

	failing := job{name: "failing", run: func(uint64) ([]observation, error) { return nil, broken }}

	cases := []struct {
		name string
		ctx  context.Context
		job  job
		want string
	}{
		{"failure", t.Context(), failing, "failing, seed 1: broken"},
		{"unknown measure", t.Context(), fixedJob("other", scheduler, 1), `measure "other" is not defined`},
		{"interrupted", cancelled, fixedJob("cost", scheduler, 1), "context canceled"},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)

			for _, realTime := range []bool{false, true} {
				jobs := [2][]job{{c.job}, nil}
				if realTime {
					jobs = [2][]job{nil, {c.job}}
				}

				_, err := run(c.ctx, Options{Seeds: 1, Progress: io.Discard}, sampleMeasures(), jobs[0], jobs[1])

				var typed *Error

				is.True(errors.As(err, &typed))
				is.Equal(typed.Kind(), KindScenario)
				is.True(strings.Contains(err.Error(), c.want))
			}
		})
	}
}

// Guards against plots that are not valid XML, or that omit a policy, a place, a
// unit or the target.
func TestPlot(t *testing.T) {
	result := mustRun(
		t, sampleMeasures(), fixedJob("cost", scheduler, 1.1, 1.4, 1.0), fixedJob("cost", firstCome, 0, 0, 0),
		fixedJob("kept", scheduler, 0, 0, 0),
	)

	var svg strings.Builder

	is := is.New(t)
	is.NoErr(result.WriteSVG(&svg))

	for _, text := range []string{"Cost", "times", "crew-link", policyLabel(scheduler), firstCome, "target: at most 1.3"} {
		is.True(strings.Contains(svg.String(), ">"+text+"<"))
	}

	decoder := xml.NewDecoder(strings.NewReader(svg.String()))

	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}

		is.NoErr(err)
	}
}

// Guards against two measures with the same name, and against scenarios that
// report an undefined measure. Only the short scenarios run.
func TestDefinitions(t *testing.T) {
	is := is.New(t)
	service := measure.Services()[1]
	jobs := append(flowBalanceJobs(service), lossJob(service))
	jobs = append(jobs, executionJobs(service)[1:]...)
	names := make(map[string]bool)

	result, err := run(t.Context(), Options{Seeds: 1, Workers: 2, Progress: io.Discard}, definitions(), jobs, nil)
	is.NoErr(err)

	for _, m := range result.Measures {
		is.True(!names[m.Name] && m.Title != "" && m.Unit != "")
		names[m.Name] = true
	}
}
