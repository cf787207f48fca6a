package report

import (
	"fmt"
	"time"

	"jayspindle/internal/coordination/admission"
	"jayspindle/internal/coordination/claim"
	"jayspindle/internal/testing/measure"
)

const (
	imbalanceDuration    = time.Minute
	imbalanceServiceTime = 50 * time.Millisecond // mean
	connectionsPerAgent  = 4                     // with uneven request rates
	normalUtilization    = 0.6                   // fraction of the capacity
	highUtilization      = 0.9

	nonIdempotentRate = 20 // non-idempotent requests per second

	claimDuration        = time.Minute
	claimSettleTime      = 10 * time.Second
	claimFaultsPerSecond = 0.1
	claimMessageLoss     = 0.01
)

var placers = []struct {
	policy    string
	newPlacer func(seed uint64) measure.Placer
}{
	{picker, measure.NewPicker},
	{random, measure.NewRandom},
	{roundRobin, measure.NewRoundRobin},
	{leastReported, measure.NewLeastReported},
	{twoChoices, measure.NewTwoChoices},
}

// imbalanceJobs compares the placement policies at two loads, and with backend
// servers of unequal speed.
func imbalanceJobs(service measure.Deployment) []job {
	scenario := measure.Imbalance{
		Agents: service.Agents, Slots: service.Slots, Duration: imbalanceDuration, Utilization: normalUtilization,
		Mean: imbalanceServiceTime, Sigma: 1, Connections: connectionsPerAgent * service.Agents, Misleading: true,
	}

	busy := scenario
	busy.Utilization = highUtilization

	unequal := scenario
	unequal.Speeds = []float64{1, 1, 0.5}

	var jobs []job

	for _, p := range placers {
		newJob := func(scenario measure.Imbalance, observe func(measure.ImbalanceResult) []observation) job {
			name := fmt.Sprintf("imbalance of requests, %s, %s", service.Service, p.policy)

			return job{name: name, run: func(seed uint64) ([]observation, error) {
				return observe(measure.Unbalanced(scenario, p.newPlacer, seed)), nil
			}}
		}

		jobs = append(
			jobs,
			newJob(scenario, func(got measure.ImbalanceResult) []observation {
				return []observation{{imbalanceRequests, service.Service, p.policy, got.Imbalance}}
			}),
			newJob(busy, func(got measure.ImbalanceResult) []observation {
				return []observation{{imbalanceBusy, service.Service, p.policy, got.Imbalance}}
			}),
			newJob(unequal, func(got measure.ImbalanceResult) []observation {
				return []observation{
					{imbalanceUnequalSpeed, service.Service, p.policy, got.Imbalance},
					{p99UnequalSpeed, service.Service, p.policy, got.P99.Seconds() * 1000},
				}
			}),
		)
	}

	return jobs
}

var admitters = []struct {
	policy      string
	newAdmitter func(admission.Policy) measure.Admitter
}{
	{scheduler, measure.NewScheduler},
	{firstCome, measure.NewFirstCome},
	{strictPriority, measure.NewStrictPriority},
}

func floodJobs(service measure.Deployment) []job {
	var jobs []job

	for _, a := range admitters {
		for _, flooder := range []measure.Flooder{measure.LeastUrgent, measure.MostUrgent} {
			name := fmt.Sprintf("%s flood, %s, %s", flooder, service.Service, a.policy)
			jobs = append(jobs, job{name: name, run: func(seed uint64) ([]observation, error) {
				return observeFlood(measure.Flood(service.Flooded(flooder), a.newAdmitter, seed), a.policy), nil
			}})
		}
	}

	return jobs
}

func observeFlood(result measure.FloodResult, policy string) []observation {
	service := result.Scenario.Deployment
	most := service.Work[0].Class.Name
	least := service.Work[len(service.Work)-1].Class.Name

	if result.Scenario.Flooder == measure.LeastUrgent {
		return []observation{
			{leastUrgentFloodUrgentInTime, service.Service, policy, 100 * result.Class(most).InTime()},
			{leastUrgentFloodOthersInTime, service.Service, policy, othersInTime(result, least)},
		}
	}

	return []observation{
		{mostUrgentFloodShare, service.Service, policy, 100 * result.Class(least).ShareKept()},
		{mostUrgentFloodOthersInTime, service.Service, policy, othersInTime(result, most)},
	}
}

// othersInTime returns the percentage of requests of the classes other than the
// flooding one that were answered within their deadlines.
func othersInTime(result measure.FloodResult, floodingClass string) float64 {
	onTime, offered := 0, 0

	for name, class := range result.Classes {
		if name != floodingClass {
			onTime += class.OnTime
			offered += class.Offered
		}
	}

	return percent(onTime, offered)
}

func executionJobs(service measure.Deployment) []job {
	methods := []struct {
		policy string
		method measure.RunMethod
	}{
		{claims, measure.RunByClaims},
		{neverResend, measure.RunOnce},
		{alwaysResend, measure.RunAgain},
		{ownMemory, measure.RunByMemory},
	}

	var jobs []job

	for _, m := range methods {
		name := fmt.Sprintf("non-idempotent requests, %s, %s", service.Service, m.policy)
		jobs = append(jobs, job{name: name, run: func(seed uint64) ([]observation, error) {
			got := measure.Executions(measure.ExecutionsConfig{
				Seed: seed, Agents: service.Agents, Zones: zoneCounts[service.Name], Rate: nonIdempotentRate,
				Mean: nonIdempotentMean(service), Method: m.method,
			})

			return []observation{
				{ranTwice, service.Service, m.policy, percent(got.Twice, got.Requests)},
				{silentlyLost, service.Service, m.policy, percent(got.Lost+got.Wrong, got.Requests)},
				{endedUnknown, service.Service, m.policy, percent(got.Unknown, got.Requests)},
			}, nil
		}})
	}

	return jobs
}

// nonIdempotentMean returns the mean service time of the first non-idempotent
// class.
func nonIdempotentMean(service measure.Deployment) time.Duration {
	for _, work := range service.Work {
		if !work.Class.Idempotent {
			return work.Mean
		}
	}

	return 0
}

func claimJob(service measure.Deployment) job {
	return job{name: "claims with dense faults, " + service.Service, run: func(seed uint64) ([]observation, error) {
		got := measure.Claims(measure.ClaimScenario{
			Agents: service.Agents, Capacity: claim.DefaultCapacity, Duration: claimDuration, Settle: claimSettleTime,
			Keys: nonIdempotentRate, Faults: claimFaultsPerSecond, Loss: claimMessageLoss,
		}, seed)

		return []observation{
			{claimViolations, service.Service, claims, float64(len(got.Violations))},
			{keysRan, service.Service, claims, percent(got.Ran, got.Keys)},
		}, nil
	}}
}
