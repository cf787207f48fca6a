package controller

import (
	"crypto/rand"
	"time"

	"jayspindle/internal/coordination/raft"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/view"
)

const (
	// confirmInterval is the time between two requests for a confirmation by the
	// quorum.
	confirmInterval = 500 * time.Millisecond

	// maxConfirmationAge is the maximum age of the last confirmation at which a
	// leader still extends leases. It tolerates one lost confirmation.
	maxConfirmationAge = 3 * confirmInterval

	// rampInterval is the time between two doublings of the weight of an agent
	// that flapped. The agent reaches its full weight after 7 s.
	rampInterval = time.Second

	// purgeInterval is the time between two commands that make the catalog drop
	// members whose suspension has exceeded its retention time.
	purgeInterval = 10 * time.Minute
)

// leaderTasks records when the leader last ran each of its periodic tasks, and
// which of its requests are under way.
type leaderTasks struct {
	lastConfirm   time.Time
	lastRamp      time.Time
	lastReconcile time.Time
	lastPurge     time.Time
	keyProposed   map[string]bool // environments whose first key was proposed
	confirming    bool            // a request for a confirmation is pending
}

// runLeaderTasks detects changes of leadership and runs the periodic tasks of the
// leader.
func (o *owner) runLeaderTasks(now time.Time) {
	status := o.node.Status()
	leading := status.Role == raft.Leader && status.CanServe

	if leading != o.leading {
		o.leading, o.tasks, o.confirmedAt = leading, leaderTasks{keyProposed: make(map[string]bool)}, time.Time{}
		o.leadingFlag.Store(leading)
		o.logger.Info("leadership changed", "leading", leading, "term", status.Term)

		if leading {
			o.resetLeases(now)
		}
	}

	if !leading || status.TransferTarget != 0 {
		return
	}

	o.confirmByQuorum(now)
	o.expireLeases(now)
	o.purgeSuspended(now)
	o.rampUp(now)
	o.proposeFirstKeys(now)
}

// resetLeases grants every member a lease of one full TTL, because a new leader
// does not know which renewals the previous leader received.
func (o *owner) resetLeases(now time.Time) {
	for environment, table := range o.leases {
		o.reconcileLeases(now, environment)
		table.Reset(now)
	}
}

func (o *owner) reconcileLeases(now time.Time, environment string) {
	if err := o.leases[environment].Reconcile(now, leaseHolders(o.state.View(environment))); err != nil {
		o.logger.Warn("could not grant leases", "environment", environment, "error", err)
	}
}

// leaseHolders returns the incarnations that hold a lease. A suspended instance
// gets a lease again only when it announces itself again.
func leaseHolders(current *view.View) []view.Incarnation {
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

// updateLeases drops and grants leases according to an applied command.
func (o *owner) updateLeases(now time.Time, result catalog.Result) {
	table, ok := o.leases[result.Environment]
	if !ok || !o.leading {
		return
	}

	table.Drop(result.Removed...)

	if current := o.state.View(result.Environment); result.Incarnation != 0 && hasMember(current, result.Incarnation) {
		if err := table.Grant(now, result.Incarnation); err != nil {
			o.logger.Warn("could not grant a lease", "environment", result.Environment, "error", err)
		}
	}
}

func hasMember(current *view.View, incarnation view.Incarnation) bool {
	if _, ok := current.Agent(incarnation); ok {
		return true
	}

	_, ok := current.Balancer(incarnation)

	return ok
}

// confirmByQuorum periodically checks with the quorum that this controller is
// still the leader. The confirmation is dated at the request, not at the reply.
func (o *owner) confirmByQuorum(now time.Time) {
	if now.Sub(o.tasks.lastConfirm) < confirmInterval || o.tasks.confirming {
		return
	}

	o.tasks.lastConfirm, o.tasks.confirming = now, true

	request := &readIndex{
		onConfirmed: func(o *owner, _ time.Time) {
			o.tasks.confirming = false
			o.confirmedAt = now
			o.confirm(now)
		},
		onError: func(error) { o.tasks.confirming = false },
	}
	request.handle(o, now)
}

func (o *owner) confirm(at time.Time) {
	for _, publisher := range o.publishers {
		publisher.Confirm(at)
	}
}

// expireLeases proposes an Expire command for the members whose leases have
// expired.
func (o *owner) expireLeases(now time.Time) {
	retry := now.Sub(o.tasks.lastReconcile) >= LeaseTTL

	for environment, table := range o.leases {
		// Reconcile again, so that an expiry whose proposal was lost is retried.
		if retry {
			o.tasks.lastReconcile = now
			o.reconcileLeases(now, environment)
		}

		if expired := table.Expired(now); len(expired) > 0 {
			o.logger.Info("leases expired", "environment", environment, "incarnations", expired)
			o.proposeAsLeader(now, catalog.Command{Expire: &catalog.Expire{Environment: environment, Incarnations: expired}})
		}
	}
}

// purgeSuspended makes the catalog drop members that have been suspended for
// long. An Expire command without incarnations has no other effect.
func (o *owner) purgeSuspended(now time.Time) {
	if now.Sub(o.tasks.lastPurge) < purgeInterval {
		return
	}

	o.tasks.lastPurge = now

	for environment := range o.leases {
		current := o.state.View(environment)
		if len(leaseHolders(current)) < len(current.Agents())+len(current.Balancers()) {
			o.proposeAsLeader(now, catalog.Command{Expire: &catalog.Expire{Environment: environment}})
		}
	}
}

// rampUp doubles the weights of agents that started with a low weight because
// they flapped.
func (o *owner) rampUp(now time.Time) {
	if now.Sub(o.tasks.lastRamp) < rampInterval {
		return
	}

	o.tasks.lastRamp = now

	for environment := range o.leases {
		for _, agent := range o.state.View(environment).Agents() {
			if agent.State != view.Active || agent.Weight >= view.MaxWeight {
				continue
			}

			o.proposeAsLeader(now, catalog.Command{SetWeight: &catalog.SetWeight{
				Environment: environment,
				Incarnation: agent.Incarnation,
				Weight:      min(max(2*agent.Weight, 1), view.MaxWeight),
			}})
		}
	}
}

// proposeFirstKeys proposes the first fabric key of each environment.
func (o *owner) proposeFirstKeys(now time.Time) {
	for environment := range o.leases {
		if len(o.state.View(environment).Keys()) > 0 || o.tasks.keyProposed[environment] {
			continue
		}

		first := catalog.Command{RotateKey: newKey(environment, o.state.Rotations(environment))}
		o.tasks.keyProposed[environment] = o.proposeAsLeader(now, first)
	}
}

func newKey(environment string, rotation uint64) *catalog.RotateKey {
	key := &catalog.RotateKey{Environment: environment, Rotation: rotation}
	rand.Read(key.Secret[:])

	return key
}

// proposeAsLeader proposes a command on behalf of the leader itself and reports
// whether the log accepted it. If not, a later run of the task retries it.
func (o *owner) proposeAsLeader(now time.Time, proposed catalog.Command) bool {
	reply := make(chan proposalResult, 1)
	o.propose(now, proposed, reply)

	select {
	case refused := <-reply:
		o.logger.Debug("a proposal of the leader was refused", "error", refused.err)

		return false
	default:
		return true
	}
}
