package report

import (
	"fmt"
	"time"

	"jayspindle/internal/testing/measure"
)

// zones is the number of availability zones of each deployment.
var zones = map[string]int{"kitakyushu": 3, "magnolia": 4}

const (
	balancersPerZone = 2

	// Views are up to 8 steps of 500 ms old, which is above the time in which
	// they reach every instance.
	flowsLag      = 8
	plannedFlows  = 1000
	plannedSteps  = 240 // 2 min
	lossSteps     = 60
	flowsPerAgent = 2000 // connections per backend server
	replyFlows    = 300
	replyDuration = 30 * time.Second
	forwardTurns  = 1000 // batches of 64 datagrams
)

// simulatedJobs returns the scenarios in simulated time.
func simulatedJobs() []job {
	var jobs []job

	for i, service := range measure.Services() {
		ofService := []job{plannedJob(service), lossJob(service), claimJob(service)}
		ofService = append(ofService, flowBalanceJobs(service)...)
		ofService = append(ofService, imbalanceJobs(service)...)
		ofService = append(ofService, floodJobs(service)...)
		ofService = append(ofService, executionJobs(service)...)
		jobs = append(jobs, shiftSeeds(ofService, i)...)
	}

	for i, deployment := range measure.Deployments() {
		jobs = append(jobs, shiftSeeds(replyJobs(deployment.Name), i)...)
	}

	return jobs
}

// seedStride is the distance between the seeds of two services. Services of
// equal size would have equal figures with the same seeds.
const seedStride = 1000

func shiftSeeds(jobs []job, place int) []job {
	shifted := make([]job, 0, len(jobs))

	for _, j := range jobs {
		shifted = append(shifted, job{name: j.name, run: func(seed uint64) ([]observation, error) {
			return j.run(seed + uint64(place)*seedStride)
		}})
	}

	return shifted
}

// realTimeJobs returns the scenarios whose figures depend on the machine.
func realTimeJobs() []job {
	return []job{
		forwardingJob("kitakyushu, 2 services, 10 agents", 2, 10),
		forwardingJob("magnolia, 2 services, 11 agents", 2, 11),
		forwardingJob("target size, 6,700 services, 26,000 agents", 6700, 26000),
	}
}

func percent(part, whole int) float64 { return 100 * float64(part) / float64(max(whole, 1)) }

// flowsConfig describes the service beside another of the same size, so that
// misdirected datagrams have somewhere to go.
func flowsConfig(service measure.Deployment, seed uint64, steps int) measure.FlowsConfig {
	return measure.FlowsConfig{
		Seed: seed, Balancers: balancersPerZone * zones[service.Name], Services: 2, Agents: 2 * service.Agents,
		Flows: plannedFlows, Steps: steps, Lag: flowsLag,
	}
}

func plannedJob(service measure.Deployment) job {
	return job{name: "planned changes, " + service.Service, run: func(seed uint64) ([]observation, error) {
		got, err := measure.Flows(flowsConfig(service, seed, plannedSteps))
		if err != nil {
			return nil, err
		}

		broken := func(policy string, flows int) observation {
			return observation{brokenPlanned, service.Service, policy, percent(flows, got.Opened)}
		}

		return []observation{
			broken(byConnectionID, got.BrokenByConnectionID),
			broken(byConsistentHash, got.BrokenByConsistentHash),
			broken(byModulo, got.BrokenByModulo),
		}, nil
	}}
}

func lossJob(service measure.Deployment) job {
	return job{name: "loss of an agent, " + service.Service, run: func(seed uint64) ([]observation, error) {
		got, err := measure.AgentLoss(flowsConfig(service, seed, lossSteps))
		if err != nil {
			return nil, err
		}

		broken := func(policy string, s measure.Survivors) observation {
			return observation{brokenLoss, service.Service, policy, percent(s.Broken, s.Flows)}
		}

		return []observation{
			broken(byConnectionID, got.ByConnectionID),
			broken(byConsistentHash, got.ByConsistentHash),
			broken(byModulo, got.ByModulo),
		}, nil
	}}
}

func flowBalanceJobs(service measure.Deployment) []job {
	methods := []struct {
		policy string
		method measure.FlowMethod
	}{
		{boundedHash, measure.FlowsByTable},
		{unboundedHash, measure.FlowsByRendezvous},
		{random, measure.FlowsAtRandom},
		{leastReported, measure.FlowsByLeastReported},
	}

	var jobs []job

	for _, m := range methods {
		name := fmt.Sprintf("balance of flows, %s, %s", service.Service, m.policy)
		jobs = append(jobs, job{name: name, run: func(seed uint64) ([]observation, error) {
			imbalance := measure.FlowBalance(measure.FlowBalanceConfig{
				Seed: seed, Agents: service.Agents, FlowsPerAgent: flowsPerAgent, Method: m.method,
			})

			return []observation{{imbalanceFlows, service.Service, m.policy, imbalance}}, nil
		}})
	}

	return jobs
}

func replyJobs(deployment string) []job {
	var jobs []job

	for _, policy := range []string{rotation, lastSeen} {
		name := fmt.Sprintf("dead balancer, %s, %s", deployment, policy)
		jobs = append(jobs, job{name: name, run: func(seed uint64) ([]observation, error) {
			got, err := measure.Replies(measure.RepliesConfig{
				Seed: seed, Balancers: balancersPerZone * zones[deployment], Flows: replyFlows,
				Duration: replyDuration, LastSeen: policy == lastSeen,
			})
			if err != nil {
				return nil, err
			}

			return []observation{
				{repliesLost, deployment, policy, percent(got.Lost, got.Sent)},
				{repliesLate, deployment, policy, percent(got.Late, got.Sent)},
			}, nil
		}})
	}

	return jobs
}

func forwardingJob(place string, services, agents int) job {
	return job{name: "forwarding, " + place, run: func(uint64) ([]observation, error) {
		got, err := measure.Forwarding(measure.ForwardingConfig{
			Services: services, Agents: agents, Batches: forwardTurns,
		})
		if err != nil {
			return nil, err
		}

		if got.Dropped > 0 {
			return nil, fmt.Errorf("%d datagrams were not forwarded", got.Dropped)
		}

		return []observation{
			{forwardingCost, place, balancerPath, got.Path / got.Bare},
			{forwardingCost, place, bareLoop, 1},
			{forwardingTime, place, balancerPath, got.Path},
			{forwardingTime, place, bareLoop, got.Bare},
			{allocations, place, balancerPath, got.Allocations},
		}, nil
	}}
}
