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

// Deployment is one service of a deployment with its work.
type Deployment struct {
	Name    string
	Service string
	Agents  int
	Slots   int
	Work    []Work // most urgent first
}

// Deployments returns the main service of both deployments of the design page.
// Service times are assumptions of the scenario, chosen so that one bulk
// request takes longer than the deadline of the urgent class in the tail.
func Deployments() []Deployment {
	return []Deployment{
		{
			Name: "kitakyushu", Service: "crew-link", Agents: 7, Slots: 3,
			Work: []Work{
				work("hazard-alert", 0, true, 2*time.Second, 10, 40*time.Millisecond, 0.5, 0.05),
				work("pass-report", 1, false, 5*time.Second, 20, 80*time.Millisecond, 0.5, 0.15),
				work("position", 2, true, 2*time.Second, 10, 20*time.Millisecond, 0.5, 0.10),
				work("route-sheet", 3, true, 30*time.Second, 15, 1500*time.Millisecond, 1, 0.30),
			},
		},
		{
			Name: "magnolia", Service: "listing-desk", Agents: 7, Slots: 4,
			Work: []Work{
				work("label-verification", 0, false, time.Second, 20, 60*time.Millisecond, 0.5, 0.10),
				work("listing", 1, true, 3*time.Second, 20, 30*time.Millisecond, 0.5, 0.15),
				work("approval-certificate", 2, true, 30*time.Second, 20, 2500*time.Millisecond, 1, 0.35),
			},
		},
	}
}

func work(name string, urgency uint8, idempotent bool, deadline time.Duration, share uint8,
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

// rate returns the arrivals per second that use the fraction of the capacity.
func (d Deployment) rate(w Work, fraction float64) float64 {
	return fraction * float64(d.Agents*d.Slots) / w.Mean.Seconds()
}

// Flooder selects the class that floods.
type Flooder int

// The flooding classes.
const (
	Nobody Flooder = iota
	LeastUrgent
	MostUrgent
)

// String returns the name used in tables.
func (f Flooder) String() string {
	return [...]string{"none", "least-urgent", "most-urgent"}[f]
}
