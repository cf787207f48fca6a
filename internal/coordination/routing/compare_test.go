package routing

import (
	"fmt"
	"testing"

	"jayspindle/internal/state/view"
)

var policies = []struct {
	name string
	fill func([]member, int) []uint16
}{{"rendezvous", rendezvous}, {"bounded", bounded}, {"maglev", maglev}}

func membersOf(n int, first int, weight uint8) []member {
	agents := make([]view.Agent, n)
	for i := range agents {
		agents[i] = view.Agent{Incarnation: view.Incarnation(first + i), Weight: weight, State: view.Active}
	}

	return eligible(agents)
}

func imbalance(members []member, owners []uint16) float64 {
	total, worst := 0, 0.0
	for i := range members {
		total += int(members[i].weight)
	}

	count := make([]int, len(members))
	for _, owner := range owners {
		count[owner]++
	}

	for i := range members {
		fair := float64(len(owners)) * float64(members[i].weight) / float64(total)
		worst = max(worst, float64(count[i])/fair)
	}

	return worst
}

func moved(a []member, before []uint16, b []member, after []uint16) float64 {
	n := 0
	for i := range before {
		if a[before[i]].incarnation != b[after[i]].incarnation {
			n++
		}
	}

	return 100 * float64(n) / float64(len(before))
}

const trials = 40

func BenchmarkCompare(b *testing.B) {
	for _, c := range []struct{ agents, buckets int }{
		{4, 1024}, {7, 1024}, {20, 1024}, {100, 1024}, {100, 16384}, {1000, 16384},
	} {
		for _, policy := range policies {
			b.Run(fmt.Sprintf("%d-agents-%d-buckets/%s", c.agents, c.buckets, policy.name), func(b *testing.B) {
				var mean, worst, leave, join, weight float64

				for trial := range trials {
					all := membersOf(c.agents, 1+trial*5000, 100)
					owners := policy.fill(all, c.buckets)
					mean += imbalance(all, owners) / trials
					worst = max(worst, imbalance(all, owners))

					less := all[:len(all)-1]
					fewer := policy.fill(less, c.buckets)
					join += moved(less, fewer, all, owners) / trials

					rest := append(append([]member(nil), all[:c.agents/2]...), all[c.agents/2+1:]...)
					leave += moved(all, owners, rest, policy.fill(rest, c.buckets)) / trials

					lighter := append([]member(nil), all...)
					lighter[c.agents/2].weight = 50
					weight += moved(all, owners, lighter, policy.fill(lighter, c.buckets)) / trials
				}

				all := membersOf(c.agents, 1, 100)

				for b.Loop() {
					policy.fill(all, c.buckets)
				}

				b.ReportMetric(mean, "imbalance")
				b.ReportMetric(worst, "worst")
				b.ReportMetric(join, "join%")
				b.ReportMetric(leave, "leave%")
				b.ReportMetric(weight, "halve%")
				b.ReportMetric(100/float64(c.agents), "ideal%")
			})
		}
	}
}
