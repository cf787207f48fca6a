package newest_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/newest"
)

const interval = time.Second

var policy = newest.Policy{Messages: 3, MinSpan: interval, MaxGap: 3 * interval}

// message is an outdated message, or one that is not if reset is set.
type message struct {
	after    time.Duration // the previous one
	key      int
	sequence uint64
	reset    bool
}

// TestSeries guards against a writer that is shut out for good by one wrong message, and
// against an earlier run of it that comes back because of delayed messages.
func TestSeries(t *testing.T) {
	for name, test := range map[string]struct {
		messages []message
		want     bool // of the last message
	}{
		"keeps sending":        {[]message{{0, 1, 5, false}, {interval, 1, 6, false}, {interval, 1, 7, false}}, true},
		"sends more than once": {[]message{{0, 1, 5, false}, {interval, 1, 6, false}}, false},
		"arrive together":      {[]message{{0, 1, 5, false}, {0, 1, 6, false}, {0, 1, 7, false}, {0, 1, 8, false}}, false},
		"repeated":             {[]message{{0, 1, 5, false}, {interval, 1, 5, false}, {interval, 1, 5, false}}, false},
		"reordered":            {[]message{{0, 1, 7, false}, {interval, 1, 6, false}, {interval, 1, 5, false}}, false},
		"of two runs":          {[]message{{0, 1, 5, false}, {interval, 2, 6, false}, {interval, 1, 7, false}}, false},
		"rare": {
			[]message{{0, 1, 5, false}, {4 * interval, 1, 6, false}, {4 * interval, 1, 7, false}}, false,
		},
		"the newest still sends": {
			[]message{{0, 1, 5, false}, {interval, 1, 6, false}, {0, 0, 0, true}, {interval, 1, 7, false}}, false,
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			series := newest.NewSeries[int](policy)
			now := time.Unix(1_000_000, 0)

			for i, sent := range test.messages {
				now = now.Add(sent.after)

				if sent.reset {
					series.Reset()

					continue
				}

				last := i == len(test.messages)-1
				is.Equal(series.Observe(now, sent.key, sent.sequence), last && test.want)
			}
		})
	}
}
