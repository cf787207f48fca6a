package controller

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"os"
	"path/filepath"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/coordination/rollout"
	"jayspindle/internal/protocol/control"
	"jayspindle/internal/state/catalog"
	"jayspindle/internal/state/view"
	"jayspindle/internal/transport/identity"
	"jayspindle/internal/transport/link"
)

// viewRecorder is a sink that stores the newest view of a subscriber.
type viewRecorder struct{ current atomic.Pointer[view.View] }

func (r *viewRecorder) Apply(_ time.Time, next *view.View) { r.current.Store(next) }
func (r *viewRecorder) Confirm(time.Time)                  {}

func (r *viewRecorder) version() uint64 {
	if current := r.current.Load(); current != nil {
		return current.Version()
	}

	return 0
}

// agents returns the agents of the newest view, none before the first view.
func (r *viewRecorder) agents() []view.Agent {
	if current := r.current.Load(); current != nil {
		return current.Agents()
	}

	return nil
}

// subscribe subscribes to the trial views of one controller.
func (g *testGroup) subscribe(target *instance) *viewRecorder {
	g.t.Helper()

	client := g.client(identity.Identity{Role: identity.RoleBalancer, Environment: "trial", Name: "b"}, target)
	recorder := &viewRecorder{}
	follower := rollout.NewFollower(catalog.Trial, nil)
	ctx, cancel := context.WithCancel(g.ctx)
	done := make(chan struct{})

	go func() {
		defer close(done)

		rollout.Subscribe(ctx, []rollout.Upstream{rollout.FromClient(client.link)}, follower, recorder,
			rand.New(rand.NewPCG(3, 3)))
	}()
	g.t.Cleanup(func() { cancel(); <-done })

	return recorder
}

// Guards against an accepted change that does not reach the subscribers of a
// follower, and against one that is lost or applied twice when the leader stops.
func TestChangeSurvivesLeader(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	operator := g.operator()
	first := newDocument(g.owners["ann"].PublicKey(), 3)
	follower := g.follower()
	subscriber := g.subscribe(g.instances[follower])

	g.acceptDocument(operator, 0, "change-1", first)
	g.eventually("version 1 is in force at a subscriber of a follower", func() bool { return subscriber.version() == 1 })

	former := g.instances[g.leader()]
	is.True(former.Leading())
	is.NoErr(former.stop())
	is.True(!former.Leading()) // it transferred leadership before it stopped

	reply, err := operator.Submit(g.ctx, newSubmission(0, "change-1", "ann", first))
	is.NoErr(err)
	is.Equal(reply.Refusal, "") // a resend gets the first reply
	is.Equal(reply.Change.Version, uint64(1))

	g.acceptDocument(operator, 1, "change-2", newDocument(g.owners["ann"].PublicKey(), 4))
	g.eventually("version 2 is in force", func() bool { return subscriber.version() == 2 })

	history, err := operator.History(g.ctx, catalog.Trial, 10)
	is.NoErr(err)
	is.Equal(len(history.Changes), 2)

	explained, err := operator.Explain(g.ctx, catalog.Trial, "change-1")
	is.NoErr(err)
	is.True(len(explained.Lines) > 3)
}

// Guards against a second group created by a controller that lost its disk, and
// against a controller that cannot rejoin after that.
func TestRejoinAfterDiskLoss(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	g.acceptDocument(g.operator(), 0, "change-1", newDocument(g.owners["ann"].PublicKey(), 3))

	former := g.instances[0].replica()
	is.NoErr(g.instances[0].stop())
	is.NoErr(os.RemoveAll(g.settings[0].Data))

	// Bootstrap is still set, as it was when the group was created.
	var failure *Error

	restarted := g.start(g.settings[0])
	err := <-restarted.result
	restarted.result <- err
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind(), KindGroup)

	g.settings[0].Bootstrap = false
	rejoined := g.start(g.settings[0])
	g.eventually("the new replica is a voter and the former one is removed", func() bool {
		reply, err := g.operator().Members(g.ctx)
		_, voter := findMember(reply, uint64(rejoined.replica()))
		listed, _ := findMember(reply, uint64(former))

		return err == nil && voter && !listed && len(reply.Members) == 3
	})
	subscriber := g.subscribe(rejoined)
	g.eventually("the subscriber gets the replicated state", func() bool { return subscriber.version() == 1 })
}

// Guards against an isolated controller that answers reads from outdated state, or
// that presents its views as confirmed.
func TestIsolatedController(t *testing.T) {
	for name, pick := range map[string]func(*testGroup) int{
		"follower": (*testGroup).follower, "leader": (*testGroup).leader,
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup(t, 3)
			chosen := pick(g)
			isolated, others := g.instances[chosen], g.instances[(chosen+1)%3]
			third := g.instances[(chosen+2)%3]
			isolated.network.isolate(true)
			g.eventually("one of the other controllers leads", func() bool {
				return g.leaderAmong(others, third)
			})
			g.acceptDocument(g.operator(others, third), 0, "change-1", newDocument(g.owners["ann"].PublicKey(), 3))

			accepted := time.Now()
			read := make(chan control.ReadIndexReply, 1)
			request := &readIndex{onError: func(error) { read <- control.ReadIndexReply{} }}
			request.onConfirmed = func(*owner, time.Time) { read <- control.ReadIndexReply{Index: request.index} }
			isolated.events <- request
			is.Equal((<-read).Index, uint64(0)) // no read is served

			lease := make(chan renewResult, 1)
			isolated.events <- &renew{request: control.Renew{Environment: catalog.Trial}, reply: lease}
			is.True((<-lease).err != nil) // no lease is extended

			snapshot, _ := isolated.Publisher(catalog.Trial).Snapshot()
			is.Equal(snapshot.View().Version(), uint64(0))
			is.True(snapshot.ConfirmedAt().Before(accepted))
			is.True(!snapshot.Confirmed(accepted.Add(rollout.ConfirmationLimit)))

			isolated.network.isolate(false)
			g.eventually("the isolated controller catches up and its views are confirmed", func() bool {
				snapshot, _ := isolated.Publisher(catalog.Trial).Snapshot()

				return snapshot.View().Version() == 1 && snapshot.ConfirmedAt().After(accepted)
			})
		})
	}
}

// leaderAmong reports whether one of the given controllers answers reads as the
// leader.
func (g *testGroup) leaderAmong(controllers ...*instance) bool {
	ctx, cancel := context.WithTimeout(g.ctx, time.Second)
	defer cancel()

	reply, err := g.operator(controllers...).Status(ctx, catalog.Trial)
	if err != nil {
		return false
	}

	for _, candidate := range controllers {
		if candidate.settings.Name == reply.Leader {
			return true
		}
	}

	return false
}

// Guards against two pending changes after concurrent submits, and against a
// conflict that does not name the change that won.
func TestConcurrentSubmits(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	replies := make(chan control.ChangeReply, 2)

	for i, author := range []string{"ann", "bob"} {
		operator := g.operator(g.instances[i])

		go func() {
			content := newDocument(g.owners["ann"].PublicKey(), 3+i)
			reply, err := operator.Submit(g.ctx, newSubmission(0, "change-of-"+author, author, content))
			is.NoErr(err)
			replies <- reply
		}()
	}

	winner, loser := <-replies, <-replies
	if winner.State != control.StatePending {
		winner, loser = loser, winner
	}

	is.Equal(winner.State, control.StatePending)
	is.Equal(loser.State, control.StateConflict)
	is.Equal(loser.Change.Digest, winner.Change.Digest) // the conflict names the winner
}

// Guards against an agent that stays active without a lease, against an agent that
// expires although it renews its lease, and against unauthorised calls.
func TestAgentMembership(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1)
	operator := g.operator()
	service := g.owners["ann"]
	g.acceptDocument(operator, 0, "change-1", newDocument(service.PublicKey(), 3))

	subscriber := g.subscribe(g.instances[0])
	agent := g.client(identity.Identity{Role: identity.RoleAgent, Environment: "trial", Name: "a", Service: "crew-link"})
	announce := control.Announce{
		Environment: catalog.Trial, Role: control.RoleAgent, Service: "crew-link", Zone: "kokura",
		Data: freeAddress(t), Peer: freeAddress(t), BootID: []byte("0123456789abcdef"),
	}
	announce.Signature = service.SignMessage(announce.SignedText())

	first, err := agent.Announce(g.ctx, announce)
	is.NoErr(err)
	again, err := agent.Announce(g.ctx, announce)
	is.NoErr(err)
	is.Equal(first.Incarnation, again.Incarnation)
	g.eventually("the agent is in the view", func() bool { return len(subscriber.agents()) == 1 })

	forged := announce
	forged.Zone = "yahata"
	_, err = agent.Announce(g.ctx, forged)
	is.True(err != nil)

	_, err = agent.Submit(g.ctx, newSubmission(1, "by-agent", "ann", newDocument(service.PublicKey(), 5)))
	is.Equal(link.KindOf(err), link.KindDenied)

	renewal := control.Renew{Environment: catalog.Trial, Renewals: []control.Renewal{
		{Incarnation: first.Incarnation, Position: first.Position}, {Incarnation: first.Incarnation + 1},
	}}
	g.eventually("the leader extends leases", func() bool {
		reply, err := agent.Renew(g.ctx, renewal)

		return err == nil && len(reply.Unknown) == 1 && reply.Unknown[0] == first.Incarnation+1
	})

	status, err := operator.Status(g.ctx, catalog.Trial)
	is.NoErr(err)
	is.Equal(status.Rotation, uint64(1)) // the first leader creates the first key

	rotated, err := operator.RotateKey(g.ctx, catalog.Trial, status.Rotation)
	is.NoErr(err)
	is.Equal(rotated.Rotation, uint64(2))
	_, err = operator.RotateKey(g.ctx, catalog.Trial, status.Rotation)
	is.Equal(link.KindOf(err), link.KindConflict) // a resend does not rotate twice

	inState := func(state view.State) func() bool {
		return func() bool {
			shown, ok := subscriber.current.Load().Agent(first.Incarnation)

			return ok && shown.State == state
		}
	}

	g.eventually("the lease expires", inState(view.Suspended))

	resumed, err := agent.Announce(g.ctx, announce)
	is.NoErr(err)
	is.Equal(resumed.Incarnation, first.Incarnation) // flows to the agent stay reachable
	g.eventually("the agent is active again", inState(view.Active))

	reply, err := agent.Renew(g.ctx, renewal)
	is.NoErr(err)
	is.Equal(reply.Unknown, []view.Incarnation{first.Incarnation + 1}) // the lease was granted again
}

// Guards against a controller that loses state in a restart, whether it restores
// from log entries or from a snapshot, and against one that creates a second group
// because bootstrap is still set.
func TestRestart(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1)
	operator := g.operator()
	group, err := operator.Members(g.ctx)
	is.NoErr(err)

	g.settings[0].SnapshotEntries = 4

	for version := range uint64(6) {
		g.acceptDocument(operator, version, fmt.Sprint("change-", version),
			newDocument(g.owners["ann"].PublicKey(), 3+int(version)))
		is.NoErr(g.instances[0].stop())

		g.instances[0] = g.start(g.settings[0])
	}

	status, err := operator.Status(g.ctx, catalog.Trial)
	is.NoErr(err)
	is.Equal(status.Version, uint64(6))

	again, err := operator.Members(g.ctx)
	is.NoErr(err)
	is.Equal(again.Cluster, group.Cluster)

	snapshots, err := filepath.Glob(filepath.Join(g.settings[0].Data, "*.snapshot"))
	is.NoErr(err)
	is.True(len(snapshots) > 0)
	is.True(filepath.Base(snapshots[0]) > "0000000000000001.snapshot") // newer than the initial snapshot
}
