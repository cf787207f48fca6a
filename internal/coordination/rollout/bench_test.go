package rollout_test

import (
	"fmt"
	"testing"
	"time"

	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/protocol/control"
)

// BenchmarkChange measures the change of one agent among 1,000: from the new
// view at the publisher until the updates for every subscriber are encoded.
func BenchmarkChange(b *testing.B) {
	for _, subscribers := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("subscribers=%d", subscribers), func(b *testing.B) {
			publisher := rollout.New(environment)
			now := time.Unix(1_000_000, 0)
			newest := newView(1, 1000)
			publisher.Apply(now, newest)

			cursors := make([]*rollout.Cursor, subscribers)
			for i := range cursors {
				cursors[i] = rollout.NewCursor(control.Watch{Position: newest.Position(), Digest: newest.Digest()})
			}

			var sentBytes int

			index := uint64(1)
			for b.Loop() {
				index++
				now = now.Add(rollout.CoalesceInterval)
				newest = changeWeight(newest, index)
				publisher.Apply(now, newest)
				snapshot, _ := publisher.Snapshot()

				for _, cursor := range cursors {
					for _, update := range cursor.Next(now, snapshot) {
						sentBytes += len(update)
					}
				}
			}

			b.ReportMetric(float64(sentBytes)/float64(b.N)/float64(subscribers), "bytes/subscriber/op")
		})
	}
}
