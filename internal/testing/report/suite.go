package report

import (
	"context"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/sourcegraph/conc/pool"
)

// Options configures a run.
type Options struct {
	Seeds    int
	Workers  int       // number of scenarios that run concurrently
	Progress io.Writer // receives a line for each finished scenario
}

// job is a scenario that yields values of one or more measures.
type job struct {
	name string
	run  func(seed uint64) ([]observation, error)
}

// Run runs all scenarios. Those measured in real time run last and one at a
// time, because concurrent scenarios would distort their figures.
func Run(ctx context.Context, options Options) (*Report, error) {
	return run(ctx, options, definitions(), simulatedJobs(), realTimeJobs())
}

func run(ctx context.Context, options Options, measures []Measure, simulated, realTime []job) (*Report, error) {
	jobs := append(append([]job{}, simulated...), realTime...)
	r := &runner{options: options, jobs: jobs, results: make([][][]observation, len(jobs))}

	workers := pool.New().WithMaxGoroutines(max(options.Workers, 1)).WithErrors().WithContext(ctx).WithCancelOnError()
	for i := range simulated {
		workers.Go(func(ctx context.Context) error { return r.runJob(ctx, i) })
	}

	if err := workers.Wait(); err != nil {
		return nil, newError("run", KindScenario, err)
	}

	for i := len(simulated); i < len(jobs); i++ {
		if err := r.runJob(ctx, i); err != nil {
			return nil, newError("run", KindScenario, err)
		}
	}

	return r.collect(measures)
}

// runner runs jobs and stores their results by job, so that the report does not
// depend on which job ends first.
type runner struct {
	options  Options
	jobs     []job
	results  [][][]observation // by job and seed
	mutex    sync.Mutex
	finished int
}

func (r *runner) runJob(ctx context.Context, i int) error {
	began := time.Now()

	for seed := 1; seed <= r.options.Seeds; seed++ {
		if err := ctx.Err(); err != nil {
			return err
		}

		observed, err := r.jobs[i].run(uint64(seed))
		if err != nil {
			return fmt.Errorf("%s, seed %d: %w", r.jobs[i].name, seed, err)
		}

		r.results[i] = append(r.results[i], observed)
	}

	r.progress(r.jobs[i].name, time.Since(began))

	return nil
}

func (r *runner) progress(name string, taken time.Duration) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.finished++
	fmt.Fprintf(r.options.Progress, "[%d/%d] %s: %d seeds in %.1f s\n",
		r.finished, len(r.jobs), name, r.options.Seeds, taken.Seconds())
}

// collect adds the observations to their measures and summarizes them.
func (r *runner) collect(measures []Measure) (*Report, error) {
	indexes := make(map[string]int, len(measures))
	for i, m := range measures {
		indexes[m.Name] = i
	}

	for _, seeds := range r.results {
		for _, observed := range seeds {
			for _, o := range observed {
				i, ok := indexes[o.measure]
				if !ok {
					return nil, newError("run", KindScenario, fmt.Errorf("measure %q is not defined", o.measure))
				}

				measures[i].add(o)
			}
		}
	}

	for i := range measures {
		measures[i].summarize()
	}

	return &Report{Seeds: r.options.Seeds, Measures: measures}, nil
}
