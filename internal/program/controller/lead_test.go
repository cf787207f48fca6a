package controller

import (
	"testing"

	"github.com/matryer/is"

	"jayspindle/internal/state/view"
)

// Guards against suspended members that get a lease without a new announcement:
// they would renew the lease, never announce themselves and stay suspended.
func TestLeaseHolders(t *testing.T) {
	current := view.New(view.Contents{
		Agents: []view.Agent{
			{Incarnation: 1, State: view.Active},
			{Incarnation: 2, State: view.Suspended},
			{Incarnation: 3, State: view.Draining},
		},
		Balancers: []view.Balancer{{Incarnation: 4, State: view.Suspended}, {Incarnation: 5, State: view.Active}},
	})

	is.New(t).Equal(leaseHolders(current), []view.Incarnation{1, 3, 5})
}
