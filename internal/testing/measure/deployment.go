package measure

import (
	"time"

	"jayspindle/internal/state/view"
)

// Work describes the requests of one class.
type Work struct {
	Class view.Class
	Mean  time.Duration // service time at a backend server of normal speed
	Sigma float64       // shape of the log-normal distribution of service times
	Load  float64       // ordinary arrivals as a fraction of the fleet's capacity
}

// Deployment describes one service of a deployment and its request classes.
type Deployment struct {
	Name    string
	Service string
	Agents  int
	Slots   int
	Work    []Work // most urgent first
}

// Deployments returns the main service of both deployments of the design page.
// Service times are assumptions: in the tail of the distribution, a single bulk
// request takes longer than the deadline of the urgent class.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "kitakyushu", Service: "crew-link", Agents: 7, Slots: 3,
			Work: []Work{
				newWork("hazard-alert", 0, true, 2*time.Second, 10, 40*time.Millisecond, 0.5, 0.05),
				newWork("pass-report", 1, false, 5*time.Second, 20, 80*time.Millisecond, 0.5, 0.15),
				newWork("position", 2, true, 2*time.Second, 10, 20*time.Millisecond, 0.5, 0.10),
				newWork("route-sheet", 3, true, 30*time.Second, 15, 1500*time.Millisecond, 1, 0.30),
			},
		},
		{
			Name: "magnolia", Service: "listing-desk", Agents: 7, Slots: 4,
			Work: []Work{
				newWork("label-verification", 0, false, time.Second, 20, 60*time.Millisecond, 0.5, 0.10),
				newWork("listing", 1, true, 3*time.Second, 20, 30*time.Millisecond, 0.5, 0.15),
				newWork("approval-certificate", 2, true, 30*time.Second, 20, 2500*time.Millisecond, 1, 0.35),
			},
		},
	}
}

func newWork(name string, urgency uint8, idempotent bool, deadline time.Duration, share uint8,
	mean time.Duration, sigma, load float64,
) Work {
	class := view.Class{
		Name: name, Method: "POST", PathPrefix: "/" + name, Urgency: urgency, Idempotent: idempotent,
		Deadline: deadline, MinSharePercent: share,
	}

	return Work{Class: class, Mean: mean, Sigma: sigma, Load: load}
}

// Classes returns the classes of the service.
func (d Deployment) Classes() []view.Class {
	classes := make([]view.Class, 0, len(d.Work))
	for _, w := range d.Work {
		classes = append(classes, w.Class)
	}

	return classes
}

// arrivalRate returns the arrivals per second of w that use the given fraction of
// the capacity of all backend servers.
func (d Deployment) arrivalRate(w Work, fraction float64) float64 {
	return fraction * float64(d.Agents*d.Slots) / w.Mean.Seconds()
}

// Flooder selects the class whose requests flood the service.
type Flooder int

// The flooding classes.
const (
	Nobody Flooder = iota
	LeastUrgent
	MostUrgent
)

// String returns the name used in tables and benchmark names.
func (f Flooder) String() string {
	return [...]string{"none", "least-urgent", "most-urgent"}[f]
}
