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

// sample returns the definitions of two measures.
func sample() []Measure {
	return []Measure{
		{Name: "cost", Title: "Cost", Unit: "times", Target: atMost(1.3), decimals: 1},
		{Name: "kept", Title: "Kept", Unit: "%", Target: atLeast(99), decimals: 0},
	}
}

// fixed returns a job that observes a value for each seed.
func fixed(measure, policy string, values ...float64) job {
	return job{name: measure + " " + policy, run: func(seed uint64) ([]observation, error) {
		return []observation{{measure, "crew-link", policy, values[seed-1]}}, nil
	}}
}

func mustRun(t *testing.T, measures []Measure, jobs ...job) *Report {
	t.Helper()

	made, err := run(t.Context(), Options{Seeds: 3, Workers: 2, Progress: io.Discard}, measures, jobs, nil)
	is.New(t).NoErr(err)

	return made
}

// Guards against targets that pass because of a good median or a good
// baseline, and against bounds in the wrong direction.
func TestVerdict(t *testing.T) {
	made := mustRun(
		t, sample(),
		fixed("cost", scheduler, 1.1, 1.4, 1.0), fixed("cost", firstCome, 1, 1, 1),
		fixed("kept", scheduler, 99, 100, 100), fixed("kept", firstCome, 0, 0, 0),
	)

	is := is.New(t)
	is.Equal(*made.Measures[0].Met, false)
	is.Equal(*made.Measures[0].Worst, 1.4)
	is.Equal(*made.Measures[1].Met, true)
	is.Equal(*made.Measures[1].Worst, 99.0)
	is.Equal(len(made.Missed()), 1)
	is.Equal(made.Measures[0].Figures[0].Median, 1.1)
}

// Guards against tables whose cells belong to another policy, and against a
// missed target that the table does not show.
func TestTables(t *testing.T) {
	made := mustRun(t, sample(), fixed("cost", scheduler, 1.1, 1.4, 1.0), fixed("cost", firstCome, 2, 2, 2))

	var text strings.Builder

	is := is.New(t)
	is.NoErr(made.WriteTables(&text))
	is.True(strings.Contains(text.String(), "| times | scheduler (in use) | first come |"))
	is.True(strings.Contains(text.String(), "| crew-link | 1.1 (1.0 to 1.4) | 2.0 |"))
	is.True(strings.Contains(text.String(), "at most 1.3. It is **missed**; the worst seed has 1.4."))
}

// Guards against JSON that loses values or the verdict.
func TestJSON(t *testing.T) {
	made := mustRun(t, sample(), fixed("cost", scheduler, 1.1, 1.4, 1.0))

	var (
		text strings.Builder
		read Report
	)

	is := is.New(t)
	is.NoErr(made.WriteJSON(&text))
	is.NoErr(json.Unmarshal([]byte(text.String()), &read))
	is.Equal(read.Measures[0].Figures, made.Measures[0].Figures)
	is.Equal(*read.Measures[0].Met, false)
	is.Equal(read.Measures[1].Met, nil) // no figures, no verdict
}

// Guards against a report that depends on which scenario ends first.
func TestOrder(t *testing.T) {
	second := make(chan struct{})
	slow, fast := fixed("cost", scheduler, 1, 1, 1), fixed("cost", firstCome, 2, 2, 2)
	runSlow, runFast := slow.run, fast.run
	slow.run = func(seed uint64) ([]observation, error) {
		<-second

		return runSlow(seed)
	}
	fast.run = func(seed uint64) ([]observation, error) {
		if seed == 3 {
			close(second)
		}

		return runFast(seed)
	}

	made := mustRun(t, sample(), slow, fast)
	is.New(t).Equal(made.Measures[0].policies(), []string{scheduler, firstCome})
}

// Guards against reports with holes: a scenario that fails, is interrupted or
// reports an unknown measure must end the run.
func TestErrors(t *testing.T) {
	broken := errors.New("broken")
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()

	fails := job{name: "failing", run: func(uint64) ([]observation, error) { return nil, broken }}

	cases := []struct {
		name string
		ctx  context.Context
		job  job
		want string
	}{
		{"failure", t.Context(), fails, "failing, seed 1: broken"},
		{"unknown measure", t.Context(), fixed("other", scheduler, 1), `measure "other" is not defined`},
		{"interrupted", cancelled, fixed("cost", scheduler, 1), "context canceled"},
	}

	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)

			for _, realTime := range []bool{false, true} {
				jobs := [2][]job{{c.job}, nil}
				if realTime {
					jobs = [2][]job{nil, {c.job}}
				}

				_, err := run(c.ctx, Options{Seeds: 1, Progress: io.Discard}, sample(), jobs[0], jobs[1])

				var typed *Error

				is.True(errors.As(err, &typed))
				is.Equal(typed.Kind(), KindScenario)
				is.True(strings.Contains(err.Error(), c.want))
			}
		})
	}
}

// Guards against plots that are not valid XML or leave out a policy, a place,
// a unit or the target.
func TestPlot(t *testing.T) {
	made := mustRun(
		t, sample(), fixed("cost", scheduler, 1.1, 1.4, 1.0), fixed("cost", firstCome, 0, 0, 0),
		fixed("kept", scheduler, 0, 0, 0),
	)

	var drawn strings.Builder

	is := is.New(t)
	is.NoErr(made.WriteSVG(&drawn))

	for _, text := range []string{"Cost", "times", "crew-link", label(scheduler), firstCome, "target: at most 1.3"} {
		is.True(strings.Contains(drawn.String(), ">"+text+"<"))
	}

	decoder := xml.NewDecoder(strings.NewReader(drawn.String()))

	for {
		_, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			break
		}

		is.NoErr(err)
	}
}

// Guards against two measures of one name and scenarios whose figures belong
// to no measure. Only the short scenarios run.
func TestDefinitions(t *testing.T) {
	is := is.New(t)
	service := measure.Services()[1]
	jobs := append(flowBalanceJobs(service), lossJob(service))
	jobs = append(jobs, executionJobs(service)[1:]...)
	names := make(map[string]bool)

	made, err := run(t.Context(), Options{Seeds: 1, Workers: 2, Progress: io.Discard}, definitions(), jobs, nil)
	is.NoErr(err)

	for _, m := range made.Measures {
		is.True(!names[m.Name] && m.Title != "" && m.Unit != "")
		names[m.Name] = true
	}
}
