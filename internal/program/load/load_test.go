package load

import (
	"context"
	"io"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/program/backend"
	"jayspindle/internal/state/settings"
)

// Guards against a load client that mistakes one outcome for another: an answer
// for a refusal, a truncated answer for a whole one, a replay for a failure.
func TestClassify(t *testing.T) {
	refused := http.Header{"Jayspindle-Outcome": {"not-run"}}
	right := http.Header{"Request-Echo": {"e"}, "Body-Size": {"3"}, "Backend-Server": {"b"}}

	cases := map[string]struct {
		status int
		header http.Header
		want   attemptResult
	}{
		"answered":          {200, right, attemptResult{outcome: answered, backendServer: "b"}},
		"another request":   {200, http.Header{"Request-Echo": {"f"}, "Body-Size": {"3"}}, attemptResult{mismatched: true}},
		"cut":               {200, http.Header{"Request-Echo": {"e"}, "Body-Size": {"4"}}, attemptResult{mismatched: true}},
		"not run":           {503, refused, attemptResult{outcome: notRun, retry: true}},
		"unknown":           {504, http.Header{"Jayspindle-Outcome": {"unknown"}}, attemptResult{outcome: unknown}},
		"in progress":       {409, nil, attemptResult{outcome: unknown, retry: true}},
		"replayed, no body": {410, http.Header{"Jayspindle-Outcome": {"replayed"}}, attemptResult{outcome: answered}},
		"error":             {500, right, attemptResult{outcome: failed}},
		"unmarked refusal":  {503, nil, attemptResult{outcome: failed}},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			got := classify(&http.Response{StatusCode: test.status, Header: test.header}, "e", 3)
			is.New(t).Equal(got, test.want)
		})
	}
}

// Guards against a comparison with the ledgers that misses a second run, a lost
// run, or a run after a refusal.
func TestLedgers(t *testing.T) {
	is := is.New(t)
	name := filepath.Join(t.TempDir(), "ledger")
	is.NoErr(os.WriteFile(name, []byte("once\ntwice\ntwice\nran after refusal\nmaybe\nother caller\n"), 0o600))
	runs, err := backend.CountRuns(name)
	is.NoErr(err)

	count := func(runs map[string]int) *Result {
		result := newResult()
		for key, outcome := range map[string]outcome{
			"once": answered, "twice": answered, "lost": answered, "ran after refusal": notRun, "refused": notRun,
			"maybe": unknown, "maybe not": failed,
		} {
			result.record("s", Request{Class: "c", Deadline: time.Second}, key, attemptResult{outcome: outcome}, 0, 0)
		}

		result.finish(runs)

		return result
	}

	result := count(runs)
	is.Equal(result.RunTwice, int64(1))
	is.Equal(result.Lost, int64(1))
	is.Equal(result.RanAfterRefusal, int64(1))
	is.Equal(result.Classes[0].Requests, int64(7))
	is.True(!result.Passed())
	is.Equal(count(nil).Lost, int64(0)) // nothing is compared without ledgers

	for _, counter := range []func(*Result) *int64{
		func(r *Result) *int64 { return &r.BrokenFlows },
		func(r *Result) *int64 { return &r.FeedGaps },
		func(r *Result) *int64 { return &r.FeedDuplicates },
		func(r *Result) *int64 { return &r.FeedStalls },
		func(r *Result) *int64 { return &r.RunTwice },
		func(r *Result) *int64 { return &r.Lost },
		func(r *Result) *int64 { return &r.RanAfterRefusal },
	} {
		bad := newResult()
		is.True(bad.Passed())
		bad.add(counter(bad))
		is.True(!bad.Passed()) // each fault counts
	}
}

func newTestFeed(silence time.Duration) (*feed, *Result) {
	result := newResult()

	return newFeed(&caller{
		client: &Client{result: result, logger: slog.New(slog.DiscardHandler)}, workload: Workload{FeedSilence: silence},
	}), result
}

// Guards against gaps and repeated events that are not noticed, and against truncated
// events that count as received: the resumed feed would then lack them.
func TestFeedEvents(t *testing.T) {
	cases := map[string]struct {
		text                   string
		last, gaps, duplicates int64
	}{
		"in order":          {"id: 7\ndata: x\n\nid: 8\n\n", 8, 0, 0},
		"gap":               {"id: 7\n\nid: 9\n\n", 9, 1, 0},
		"duplicate":         {"id: 7\n\nid: 7\n\nid: 8\n\n", 8, 0, 1},
		"cut in the ID":     {"id: 123\n\nid: 12", 123, 0, 0},
		"cut after the ID":  {"id: 7\n\nid: 8\n", 7, 0, 0},
		"cut in the middle": {"id: 7\n\nid: 8\ndata", 7, 0, 0},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f, result := newTestFeed(0)
			f.read(t.Context(), io.NopCloser(strings.NewReader(test.text)))
			is.Equal(f.lastEventID, test.last)
			is.Equal(result.FeedGaps, test.gaps)
			is.Equal(result.FeedDuplicates, test.duplicates)
		})
	}

	// Guards against a feed that falls silent for good and is not noticed.
	t.Run("stalled", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			f, result := newTestFeed(time.Second)
			f.stallTimer = time.AfterFunc(time.Second, func() { result.add(&result.FeedStalls) })
			f.recordEvent("1")
			time.Sleep(900 * time.Millisecond)
			f.recordEvent("2")
			time.Sleep(5 * time.Second)
			synctest.Wait()
			is.New(t).Equal(result.FeedStalls, int64(1))
		})
	})
}

// Guards against a fabric that keeps sending to a balancer that is not ready.
func TestFabric(t *testing.T) {
	is := is.New(t)
	status := http.StatusOK
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(status) }))
	defer server.Close()

	hosts := []netip.Addr{netip.MustParseAddr("127.0.0.1"), netip.MustParseAddr("127.0.0.2")}
	f := newFabric([]FabricBalancer{
		{Host: hosts[0], Health: netip.MustParseAddrPort(server.Listener.Addr().String())}, {Host: hosts[1]},
	}, slog.New(slog.DiscardHandler))

	f.refresh(context.Background())
	is.Equal(*f.ready.Load(), hosts)

	status = http.StatusServiceUnavailable
	f.refresh(context.Background())
	is.Equal(*f.ready.Load(), hosts[1:])
}

// Guards against settings with a misspelt key that silently turn a check off.
func TestSettings(t *testing.T) {
	const valid = `
instance: {name: load, environment: trial, zone: a}
duration: 1s
authority: ca.pem
balancers: [{host: 127.0.0.1}]
workloads: [{name: w, service: s, port: 7001, callers: 1}]
`

	cases := map[string]struct{ text, fault string }{
		"valid":        {valid, ""},
		"unknown key":  {valid + "ledger: [a]\n", "ledger"},
		"out of range": {strings.Replace(valid, "callers: 1", "callers: 0", 1), "callers"},
		"missing":      {strings.Replace(valid, "authority: ca.pem", "", 1), "authority"},
		"bad duration": {strings.Replace(valid, "duration: 1s", "duration: 1ms", 1), "duration"},
	}
	for name, test := range cases {
		t.Run(name, func(t *testing.T) {
			_, err := settings.Decode[Settings]("load.yaml", []byte(test.text))
			if test.fault == "" {
				is.New(t).NoErr(err)

				return
			}

			is.New(t).True(err != nil && strings.Contains(err.Error(), test.fault))
		})
	}
}
