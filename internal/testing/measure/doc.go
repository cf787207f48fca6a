// Package measure runs the scenarios behind the measures of the design page
// with seeds and returns typed figures: broken flows, imbalance, floods,
// non-idempotent requests, replies through a dead balancer and forwarding cost.
//
// # Usage
//
//	for _, service := range measure.Services() {
//		result := measure.Flood(service.Flooded(measure.LeastUrgent), measure.NewScheduler, seed)
//		fmt.Println(service.Service, result.Class(service.Work[0].Class.Name).InTime())
//	}
//
//	result, err := measure.Flows(measure.FlowsConfig{
//		Seed: 1, Balancers: 24, Services: 6, Agents: 120, Flows: 1500, Steps: 60, Lag: 8,
//	})
//	fmt.Println(result.BrokenByConnectionID, result.BrokenByModulo)
//
// All scenarios but Forwarding run in simulated time and depend only on their
// seed. Policies are passed in, so that a report can compare the policy in use
// with baselines.
package measure
