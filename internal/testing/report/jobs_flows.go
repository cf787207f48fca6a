package report

import (
	"fmt"
	"time"

	"jayspindle/internal/testing/measure"
)

// zoneCounts holds the number of availability zones of each deployment.
var zoneCounts = map[string]int{"kitakyushu": 3, "magnolia": 4}

const (
	balancersPerZone = 2

	// Instances act on views that are up to 8 steps of 500 ms old, which is
	// longer than a view takes to reach every instance.
	viewLagSteps       = 8
	flowCount          = 1000
	plannedChangeSteps = 240 // 2 min
	agentLossSteps     = 60
	flowsPerAgent      = 2000 // connections to each backend server
	replyFlows         = 300
	replyDuration      = 30 * time.Second
	forwardingBatches  = 1000 // of 64 datagrams each
)

// simulatedJobs returns the scenarios that run in simulated time.
func simulatedJobs() []job {
	var jobs []job

	for i, service := range measure.Services() {
		serviceJobs := []job{plannedJob(service), lossJob(service), claimJob(service)}
		serviceJobs = append(serviceJobs, flowBalanceJobs(service)...)
		serviceJobs = append(serviceJobs, imbalanceJobs(service)...)
		serviceJobs = append(serviceJobs, floodJobs(service)...)
		serviceJobs = append(serviceJobs, executionJobs(service)...)
		jobs = append(jobs, shiftSeeds(serviceJobs, i)...)
	}

	for i, deployment := range measure.Deployments() {
		jobs = append(jobs, shiftSeeds(replyJobs(deployment.Name), i)...)
	}

	return jobs
}

// seedStride is the distance between the seeds of two services or deployments.
// With the same seeds, services of equal size would have equal figures.
const seedStride = 1000

func shiftSeeds(jobs []job, index int) []job {
	shifted := make([]job, 0, len(jobs))

	for _, j := range jobs {
		shifted = append(shifted, job{name: j.name, run: func(seed uint64) ([]observation, error) {
			return j.run(seed + uint64(index)*seedStride)
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

// flowsConfig returns a scenario with the service and a second one of the same
// size, so that a misdirected datagram can reach an agent of another service.
func flowsConfig(service measure.Deployment, seed uint64, steps int) measure.FlowsConfig {
	return measure.FlowsConfig{
		Seed: seed, Balancers: balancersPerZone * zoneCounts[service.Name], Services: 2, Agents: 2 * service.Agents,
		Flows: flowCount, Steps: steps, Lag: viewLagSteps,
	}
}

func plannedJob(service measure.Deployment) job {
	return job{name: "planned changes, " + service.Service, run: func(seed uint64) ([]observation, error) {
		got, err := measure.Flows(flowsConfig(service, seed, plannedChangeSteps))
		if err != nil {
			return nil, err
		}

		broken := func(policy string, flows int) observation {
			return observation{brokenFlowsPlanned, service.Service, policy, percent(flows, got.Opened)}
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
		got, err := measure.AgentLoss(flowsConfig(service, seed, agentLossSteps))
		if err != nil {
			return nil, err
		}

		broken := func(policy string, s measure.Survivors) observation {
			return observation{brokenFlowsLoss, service.Service, policy, percent(s.Broken, s.Flows)}
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
				Seed: seed, Balancers: balancersPerZone * zoneCounts[deployment], Flows: replyFlows,
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

func forwardingJob(size string, services, agents int) job {
	return job{name: "forwarding, " + size, run: func(uint64) ([]observation, error) {
		got, err := measure.Forwarding(measure.ForwardingConfig{
			Services: services, Agents: agents, Batches: forwardingBatches,
		})
		if err != nil {
			return nil, err
		}

		if got.Dropped > 0 {
			return nil, fmt.Errorf("%d datagrams were not forwarded", got.Dropped)
		}

		return []observation{
			{forwardingCost, size, balancerPath, got.Path / got.Bare},
			{forwardingCost, size, bareLoop, 1},
			{forwardingTime, size, balancerPath, got.Path},
			{forwardingTime, size, bareLoop, got.Bare},
			{allocations, size, balancerPath, got.Allocations},
		}, nil
	}}
}
