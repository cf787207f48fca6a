package controller

import (
	"crypto/rand"
	"time"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/view"
)

const (
	// confirmInterval is the time between two confirmations by the quorum.
	confirmInterval = 500 * time.Millisecond

	// confirmationLimit is the age of a confirmation up to which a leader
	// extends leases: one lost confirmation is tolerated.
	confirmationLimit = 3 * confirmInterval

	// rampInterval is the time after which the weight of an agent that flapped
	// doubles: it takes its full share after 7 s.
	rampInterval = time.Second

	// forgetInterval is the time between two commands that let the catalog
	// forget members which have been suspended for long.
	forgetInterval = 10 * time.Minute
)

// duties remembers when a leader last did its regular work.
type duties struct {
	confirm    time.Time
	ramp       time.Time
	reconcile  time.Time
	forget     time.Time
	keyAsked   map[string]bool
	confirming bool
}

// lead does the work of a leader, and of its start.
func (o *owner) lead(now time.Time) {
	status := o.node.Status()
	leading := status.Role == raft.Leader && status.Ready

	if leading != o.leading {
		o.leading, o.duties, o.confirmedAt = leading, duties{keyAsked: make(map[string]bool)}, time.Time{}
		o.published.Store(leading)
		o.logger.Info("leadership changed", "leading", leading, "term", status.Term)

		if leading {
			o.takeOver(now)
		}
	}

	if !leading || status.Transfer != 0 {
		return
	}

	o.confirmByQuorum(now)
	o.expire(now)
	o.forgetSuspended(now)
	o.rampUp(now)
	o.foundKeys(now)
}

// takeOver grants every known lease one full TTL, because the renewals that
// the previous leader received are unknown.
func (o *owner) takeOver(now time.Time) {
	for environment, table := range o.leases {
		o.reconcile(now, environment)
		table.Reset(now)
	}
}

func (o *owner) reconcile(now time.Time, environment string) {
	if err := o.leases[environment].Reconcile(now, members(o.state.View(environment))); err != nil {
		o.logger.Warn("leases cannot be granted", "environment", environment, "error", err)
	}
}

// members returns the incarnations that hold a lease. A suspended one gets its
// lease back by another announcement only.
func members(current *view.View) []view.Incarnation {
	var incarnations []view.Incarnation

	for _, agent := range current.Agents() {
		if agent.State != view.Suspended {
			incarnations = append(incarnations, agent.Incarnation)
		}
	}

	for _, balancer := range current.Balancers() {
		if balancer.State != view.Suspended {
			incarnations = append(incarnations, balancer.Incarnation)
		}
	}

	return incarnations
}

// follow keeps the leases in step with an applied command.
func (o *owner) follow(now time.Time, result catalog.Result) {
	table, ok := o.leases[result.Environment]
	if !ok || !o.leading {
		return
	}

	table.Drop(result.Removed...)

	if current := o.state.View(result.Environment); result.Incarnation != 0 && known(current, result.Incarnation) {
		if err := table.Grant(now, result.Incarnation); err != nil {
			o.logger.Warn("a lease cannot be granted", "environment", result.Environment, "error", err)
		}
	}
}

func known(current *view.View, incarnation view.Incarnation) bool {
	if _, ok := current.Agent(incarnation); ok {
		return true
	}

	_, ok := current.Balancer(incarnation)

	return ok
}

// confirmByQuorum asks the quorum from time to time whether this leader still
// leads. The confirmation is as old as the question.
func (o *owner) confirmByQuorum(now time.Time) {
	if now.Sub(o.duties.confirm) < confirmInterval || o.duties.confirming {
		return
	}

	o.duties.confirm, o.duties.confirming = now, true

	question := &readIndex{
		run: func(o *owner, _ time.Time) {
			o.duties.confirming = false
			o.confirmedAt = now
			o.confirm(now)
		},
		lost: func(error) { o.duties.confirming = false },
	}
	question.handle(o, now)
}

func (o *owner) confirm(at time.Time) {
	for _, publisher := range o.publishers {
		publisher.Confirm(at)
	}
}

// expire proposes the removal of members whose leases ran out.
func (o *owner) expire(now time.Time) {
	again := now.Sub(o.duties.reconcile) >= LeaseTTL

	for environment, table := range o.leases {
		// An expiry whose proposal was lost is tried again.
		if again {
			o.duties.reconcile = now
			o.reconcile(now, environment)
		}

		if expired := table.Expired(now); len(expired) > 0 {
			o.logger.Info("leases expired", "environment", environment, "incarnations", expired)
			o.proposeOwn(now, catalog.Command{Expire: &catalog.Expire{Environment: environment, Incarnations: expired}})
		}
	}
}

// forgetSuspended lets the catalog drop members that have been suspended for
// long. An Expire command without incarnations does that and nothing else.
func (o *owner) forgetSuspended(now time.Time) {
	if now.Sub(o.duties.forget) < forgetInterval {
		return
	}

	o.duties.forget = now

	for environment := range o.leases {
		current := o.state.View(environment)
		if len(members(current)) < len(current.Agents())+len(current.Balancers()) {
			o.proposeOwn(now, catalog.Command{Expire: &catalog.Expire{Environment: environment}})
		}
	}
}

// rampUp doubles the weights of agents that started low because they flapped.
func (o *owner) rampUp(now time.Time) {
	if now.Sub(o.duties.ramp) < rampInterval {
		return
	}

	o.duties.ramp = now

	for environment := range o.leases {
		for _, agent := range o.state.View(environment).Agents() {
			if agent.State != view.Active || agent.Weight >= view.MaxWeight {
				continue
			}

			o.proposeOwn(now, catalog.Command{SetWeight: &catalog.SetWeight{
				Environment: environment,
				Incarnation: agent.Incarnation,
				Weight:      min(max(2*agent.Weight, 1), view.MaxWeight),
			}})
		}
	}
}

// foundKeys proposes the first fabric key of each environment.
func (o *owner) foundKeys(now time.Time) {
	for environment := range o.leases {
		if len(o.state.View(environment).Keys()) > 0 || o.duties.keyAsked[environment] {
			continue
		}

		first := catalog.Command{RotateKey: newKey(environment, o.state.Rotations(environment))}
		o.duties.keyAsked[environment] = o.proposeOwn(now, first)
	}
}

func newKey(environment string, rotation uint64) *catalog.RotateKey {
	key := &catalog.RotateKey{Environment: environment, Rotation: rotation}
	rand.Read(key.Secret[:])

	return key
}

// proposeOwn proposes a command of the leader itself and reports whether it
// was accepted. A refused duty is tried again.
func (o *owner) proposeOwn(now time.Time, own catalog.Command) bool {
	reply := make(chan answer, 1)
	o.propose(now, own, reply)

	select {
	case refused := <-reply:
		o.logger.Debug("a proposal of the leader is refused", "error", refused.err)

		return false
	default:
		return true
	}
}
