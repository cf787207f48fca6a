package measure_test

import (
	"testing"
	"time"

	"jayspindle/internal/coordination/admission"
	"jayspindle/internal/testing/measure"
)

// waiting is a request in the queue of a baseline.
type waiting struct {
	request admission.Request
	expires time.Time
	urgency uint8
}

// baseline is a bounded queue without estimates, reserves or shares.
type baseline struct {
	policy  admission.Policy
	strict  bool // most urgent first; otherwise first come first served
	queue   []waiting
	running int
}

func newBaseline(strict bool) func(admission.Policy) measure.Admitter {
	return func(policy admission.Policy) measure.Admitter {
		return &baseline{policy: policy, strict: strict}
	}
}

func (b *baseline) Offer(now time.Time, request admission.Request) admission.Decision {
	limit := b.policy.QueueLength * len(b.policy.Classes)

	for _, class := range b.policy.Classes {
		if class.Name != request.Class {
			continue
		}

		w := waiting{request: request, expires: now.Add(class.Deadline), urgency: class.Urgency}

		at := len(b.queue)
		for b.strict && at > 0 && b.queue[at-1].urgency > class.Urgency {
			at--
		}

		b.queue = append(b.queue[:at], append([]waiting{w}, b.queue[at:]...)...)
	}

	if len(b.queue) <= limit {
		return admission.Decision{ID: request.ID, Action: admission.Wait}
	}

	last := b.queue[limit]
	b.queue = b.queue[:limit]

	return admission.Decision{ID: last.request.ID, Action: admission.Refuse, Reason: admission.ReasonQueue}
}

func (b *baseline) Next(now time.Time) []admission.Decision {
	var decisions []admission.Decision

	for len(b.queue) > 0 {
		head := b.queue[0]

		switch {
		case now.After(head.expires):
			decisions = append(decisions, admission.Decision{ID: head.request.ID, Action: admission.Refuse})
		case b.running < b.policy.Slots:
			decisions = append(decisions, admission.Decision{ID: head.request.ID, Action: admission.Run})
			b.running++
		default:
			return decisions
		}

		b.queue = b.queue[1:]
	}

	return decisions
}

func (b *baseline) Finish(time.Time, uint64, admission.Outcome) bool {
	b.running--

	return true
}

func (b *baseline) Wake() (time.Time, bool) { return time.Time{}, false }

func (b *baseline) Waiting() int { return len(b.queue) }

func newScheduler(policy admission.Policy) measure.Admitter { return admission.New(policy) }

// floodPolicies are the policies that the flood benchmark compares.
var floodPolicies = []struct {
	name string
	make func(admission.Policy) measure.Admitter
}{
	{name: "fcfs", make: newBaseline(false)},
	{name: "strict", make: newBaseline(true)},
	{name: "scheduler", make: newScheduler},
}

// BenchmarkFlood reports, per deployment, flooding class and policy, how much
// urgent work is in time and which part of its minimum share the class that is
// worst off keeps. Figures are medians over the seeds 1 to b.N.
func BenchmarkFlood(b *testing.B) {
	for _, deployment := range measure.Deployments() {
		for _, flooder := range []measure.Flooder{measure.Nobody, measure.LeastUrgent, measure.MostUrgent} {
			for _, policy := range floodPolicies {
				b.Run(deployment.Name+"/"+flooder.String()+"/"+policy.name, func(b *testing.B) {
					var urgent, kept, busy []float64

					for seed := range b.N {
						result := measure.Flood(deployment.Flooded(flooder), policy.make, uint64(seed+1))
						urgent = append(urgent, result.Class(deployment.Work[0].Class.Name).InTime())
						kept = append(kept, worstShare(result))
						busy = append(busy, result.Busy)
					}

					report(b, "urgent-in-time", urgent)
					report(b, "share-kept", kept)
					report(b, "busy", busy)
				})
			}
		}
	}
}

func worstShare(result measure.FloodResult) float64 {
	worst := 1e9
	for _, class := range result.Classes {
		worst = min(worst, class.ShareKept())
	}

	return worst
}

func report(b *testing.B, name string, values []float64) {
	b.Helper()

	summary := measure.Summarize(values)
	b.ReportMetric(summary.Median, name)
	b.ReportMetric(summary.Lowest, name+"-lowest")
	b.ReportMetric(summary.Highest, name+"-highest")
}
