// Package measure runs the scenarios behind the measures of the design page
// with given seeds and returns typed results: broken flows, imbalance, floods,
// non-idempotent requests, replies after the loss of a balancer, and the cost
// of forwarding.
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
// All scenarios except Forwarding run in simulated time and depend only on
// their seed. Policies are parameters, so that a report can compare the
// production policy with baselines.
package measure
