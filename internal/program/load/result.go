package load

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"sync"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	maxLatencyMicroseconds = int64(time.Minute / time.Microsecond)
	significantFigures     = 3
)

// outcome is how a request ended for the caller.
type outcome uint8

const (
	answered outcome = iota
	notRun
	unknown
	failed
)

// String returns the outcome as it appears in traces.
func (o outcome) String() string {
	return [...]string{answered: "answered", notRun: "not-run", unknown: "unknown", failed: "failed"}[o]
}

// ClassResult counts the requests of one class.
type ClassResult struct {
	Class      string  `json:"class"`
	Requests   int64   `json:"requests"`
	Answered   int64   `json:"answered"`
	Late       int64   `json:"late"` // answered after the deadline
	NotRun     int64   `json:"not_run"`
	Unknown    int64   `json:"unknown"`
	Failed     int64   `json:"failed"`
	Resent     int64   `json:"resent"`
	Mismatched int64   `json:"mismatched"` // answers to another request
	P50        float64 `json:"p50_ms"`
	P99        float64 `json:"p99_ms"`
	Max        float64 `json:"max_ms"`

	latencies *hdrhistogram.Histogram
}

// ServerResult counts the answers of one backend server.
type ServerResult struct {
	Answers int64     `json:"answers"`
	First   time.Time `json:"first"` // time of the first answer
	Last    time.Time `json:"last"`  // time of the last answer
}

// Result holds the measurements of one run of the load client.
type Result struct {
	Classes        []*ClassResult `json:"classes"`
	Flows          int64          `json:"flows"`
	BrokenFlows    int64          `json:"broken_flows"`
	FeedEvents     int64          `json:"feed_events"`
	FeedGaps       int64          `json:"feed_gaps"`
	FeedDuplicates int64          `json:"feed_duplicates"`
	FeedMoves      int64          `json:"feed_moves"`
	FeedStalls     int64          `json:"feed_stalls"` // no event for the feed_silence of the workload
	Imbalance      float64        `json:"imbalance"`   // busiest server over mean, of those present throughout
	// BackendServers counts answers by service and backend server.
	BackendServers  map[string]map[string]*ServerResult `json:"backend_servers"`
	RunTwice        int64                               `json:"run_twice"`
	Lost            int64                               `json:"lost"`              // answered, but recorded in no ledger
	RanAfterRefusal int64                               `json:"ran_after_refusal"` // "not run", but in a ledger
	Recorded        int64                               `json:"recorded"`          // keys in the ledgers
	Reasons         map[string]int64                    `json:"reasons"`           // why requests were not answered

	mutex    sync.Mutex // guards everything above
	classes  map[string]*ClassResult
	outcomes map[string]outcome // by idempotency key
}

func newResult() *Result {
	return &Result{
		BackendServers: make(map[string]map[string]*ServerResult),
		Reasons:        make(map[string]int64),
		classes:        make(map[string]*ClassResult),
		outcomes:       make(map[string]outcome),
	}
}

func (r *Result) server(service, name string) *ServerResult {
	servers, ok := r.BackendServers[service]
	if !ok {
		servers = make(map[string]*ServerResult)
		r.BackendServers[service] = servers
	}

	server, ok := servers[name]
	if !ok {
		server = &ServerResult{}
		servers[name] = server
	}

	return server
}

func (s *ServerResult) count(now time.Time) {
	if s.Answers == 0 {
		s.First = now
	}

	s.Answers++
	s.Last = now
}

func (r *Result) class(name string) *ClassResult {
	class, ok := r.classes[name]
	if !ok {
		class = &ClassResult{Class: name, latencies: hdrhistogram.New(1, maxLatencyMicroseconds, significantFigures)}
		r.classes[name] = class
	}

	return class
}

// record counts one request after its last attempt.
func (r *Result) record(
	service string, request Request, key string, attempt attemptResult, resent int, latency time.Duration,
) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	class := r.class(request.Class)
	class.Requests++
	class.Resent += int64(resent)

	if key != "" {
		r.outcomes[key] = attempt.outcome
	}

	if attempt.outcome != answered {
		r.Reasons[request.Class+": "+attempt.reason]++
	}

	switch attempt.outcome {
	case answered:
		r.recordAnswer(service, class, request, attempt, latency)
	case notRun:
		class.NotRun++
	case unknown:
		class.Unknown++
	case failed:
		class.Failed++
	}
}

func (r *Result) recordAnswer(
	service string, class *ClassResult, request Request, attempt attemptResult, latency time.Duration,
) {
	class.Answered++
	r.server(service, attempt.backendServer).count(time.Now())

	if latency > request.Deadline {
		class.Late++
	}

	if attempt.mismatched {
		class.Mismatched++
	}

	// RecordValue fails only above the maximum latency, which is then recorded instead.
	if class.latencies.RecordValue(latency.Microseconds()) != nil {
		_ = class.latencies.RecordValue(maxLatencyMicroseconds)
	}
}

// add increments a counter of the result.
func (r *Result) add(counter *int64) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	*counter++
}

// finish computes quantiles, imbalance and the comparison with the ledgers.
// Without ledgers, runs is nil and nothing is compared.
func (r *Result) finish(runs map[string]int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	for _, name := range slices.Sorted(maps.Keys(r.classes)) {
		class := r.classes[name]
		class.P50 = milliseconds(class.latencies.ValueAtQuantile(50))
		class.P99 = milliseconds(class.latencies.ValueAtQuantile(99))
		class.Max = milliseconds(class.latencies.Max())
		r.Classes = append(r.Classes, class)
	}

	for _, answers := range r.BackendServers {
		r.Imbalance = max(r.Imbalance, imbalance(answers))
	}

	r.Recorded = int64(len(runs))

	if runs == nil {
		return
	}

	for key, outcome := range r.outcomes {
		switch count := runs[key]; {
		case count > 1:
			r.RunTwice++
		case count == 0 && outcome == answered:
			r.Lost++
		case count == 1 && outcome == notRun:
			r.RanAfterRefusal++
		}
	}
}

// imbalance returns the answers of the busiest backend server over the mean, for
// those that answered in the first and in the last tenth of the time of the
// service: one that drained or joined in between has fewer answers on purpose. A
// backend server without any answer is not counted.
func imbalance(servers map[string]*ServerResult) float64 {
	var first, last time.Time

	for _, server := range servers {
		if first.IsZero() || server.First.Before(first) {
			first = server.First
		}

		if server.Last.After(last) {
			last = server.Last
		}
	}

	margin := last.Sub(first) / 10

	var total, busiest, count int64

	for _, server := range servers {
		if server.First.Sub(first) <= margin && last.Sub(server.Last) <= margin {
			total += server.Answers
			busiest = max(busiest, server.Answers)
			count++
		}
	}

	if total == 0 {
		return 0
	}

	return float64(busiest) * float64(count) / float64(total)
}

func milliseconds(microseconds int64) float64 {
	return float64(microseconds) / float64(time.Millisecond/time.Microsecond)
}

// Passed reports whether no flow broke, no feed lost or repeated an event, and
// no request failed, ran twice, was lost, or ran after it was refused with "not
// run", and no answer was mismatched.
func (r *Result) Passed() bool {
	broken := r.BrokenFlows + r.FeedGaps + r.FeedDuplicates + r.FeedStalls + r.RunTwice + r.Lost + r.RanAfterRefusal
	for _, class := range r.Classes {
		broken += class.Mismatched + class.Failed
	}

	return broken == 0
}

// WriteJSON writes the result as JSON.
func (r *Result) WriteJSON(writer io.Writer) error {
	encoder := json.NewEncoder(writer)
	encoder.SetIndent("", "  ")

	if err := encoder.Encode(r); err != nil {
		return newError("write result", KindFile, err)
	}

	return nil
}

// WriteTable writes the result as tables.
func (r *Result) WriteTable(writer io.Writer) error {
	table := tabwriter.NewWriter(writer, 0, 0, 2, ' ', tabwriter.AlignRight)

	fmt.Fprintln(table, "class\trequests\tanswered\tlate\tnot run\tunknown\tfailed\tresent\tp50 ms\tp99 ms\tmax ms\t")

	for _, class := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.1f\t%.1f\t%.1f\t\n",
			class.Class, class.Requests, class.Answered, class.Late, class.NotRun, class.Unknown, class.Failed,
			class.Resent, class.P50, class.P99, class.Max)
	}

	fmt.Fprintln(table)
	fmt.Fprintln(table,
		"flows\tbroken\tfeed events\tgaps\tduplicates\tstalls\tmoves\trun twice\tlost\tran after refusal\timbalance\t")
	fmt.Fprintf(table, "%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%d\t%.3f\t\n",
		r.Flows, r.BrokenFlows, r.FeedEvents, r.FeedGaps, r.FeedDuplicates, r.FeedStalls, r.FeedMoves,
		r.RunTwice, r.Lost, r.RanAfterRefusal, r.Imbalance)

	for _, reason := range slices.Sorted(maps.Keys(r.Reasons)) {
		fmt.Fprintf(table, "%d\tnot answered, %s\t\n", r.Reasons[reason], reason)
	}

	if err := table.Flush(); err != nil {
		return newError("write result", KindFile, err)
	}

	return nil
}
