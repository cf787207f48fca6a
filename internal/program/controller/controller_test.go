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

// sink keeps the newest view of a subscriber.
type sink struct{ current atomic.Pointer[view.View] }

func (s *sink) Apply(_ time.Time, next *view.View) { s.current.Store(next) }
func (s *sink) Confirm(time.Time)                  {}

func (s *sink) version() uint64 {
	if current := s.current.Load(); current != nil {
		return current.Version()
	}

	return 0
}

// subscribe follows the trial views of one controller.
func (g *fleet) subscribe(target *instance) *sink {
	g.t.Helper()

	client := g.client(identity.Identity{Role: identity.RoleBalancer, Environment: "trial", Name: "b"}, target)
	kept := &sink{}
	follower := rollout.NewFollower(catalog.Trial, nil)
	ctx, cancel := context.WithCancel(g.ctx)
	done := make(chan struct{})

	go func() {
		defer close(done)

		rollout.Subscribe(ctx, []rollout.Upstream{rollout.FromClient(client.link)}, follower, kept,
			rand.New(rand.NewPCG(3, 3)))
	}()
	g.t.Cleanup(func() { cancel(); <-done })

	return kept
}

// Guards against an accepted change that subscribers of a follower don't get,
// and one that is lost or repeated when the leader stops.
func TestChangeSurvivesLeader(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	operator := g.operator()
	first := documentOf(g.owners["ann"].PublicKey(), 3)
	follower := g.follower()
	subscriber := g.subscribe(g.running[follower])

	g.accept(operator, 0, "change-1", first)
	g.eventually("version 1 is in force at a subscriber of a follower", func() bool { return subscriber.version() == 1 })

	former := g.running[g.leader()]
	is.True(former.Leading())
	is.NoErr(former.stop())
	is.True(!former.Leading()) // it handed over before it stopped

	reply, err := operator.Submit(g.ctx, submission(0, "change-1", "ann", first))
	is.NoErr(err)
	is.Equal(reply.Refusal, "") // a resend gets the first answer
	is.Equal(reply.Change.Version, uint64(1))

	g.accept(operator, 1, "change-2", documentOf(g.owners["ann"].PublicKey(), 4))
	g.eventually("version 2 is in force", func() bool { return subscriber.version() == 2 })

	history, err := operator.History(g.ctx, catalog.Trial, 10)
	is.NoErr(err)
	is.Equal(len(history.Changes), 2)

	explained, err := operator.Explain(g.ctx, catalog.Trial, "change-1")
	is.NoErr(err)
	is.True(len(explained.Lines) > 3)
}

// Guards against a second group founded by a controller that lost its disk,
// and against a member that stays lost.
func TestLostDisk(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	g.accept(g.operator(), 0, "change-1", documentOf(g.owners["ann"].PublicKey(), 3))

	former := g.running[0].replica()
	is.NoErr(g.running[0].stop())
	is.NoErr(os.RemoveAll(g.settings[0].Data))

	// Bootstrap is still set, as it was when the group was founded.
	var failure *Error

	again := g.start(g.settings[0])
	err := <-again.result
	again.result <- err
	is.True(errors.As(err, &failure))
	is.Equal(failure.Kind(), KindGroup)

	g.settings[0].Bootstrap = false
	rejoined := g.start(g.settings[0])
	g.eventually("the new replica is a voter and the former one is gone", func() bool {
		reply, err := g.operator().Members(g.ctx)
		_, voter := membership(reply, uint64(rejoined.replica()))
		listed, _ := membership(reply, uint64(former))

		return err == nil && voter && !listed && len(reply.Members) == 3
	})
	subscriber := g.subscribe(rejoined)
	g.eventually("the state is back", func() bool { return subscriber.version() == 1 })
}

// Guards against an isolated controller that serves an old read, or that
// passes off its views as confirmed.
func TestCutController(t *testing.T) {
	for name, pick := range map[string]func(*fleet) int{"follower": (*fleet).follower, "leader": (*fleet).leader} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			g := newGroup(t, 3)
			chosen := pick(g)
			cut, others := g.running[chosen], g.running[(chosen+1)%3]
			third := g.running[(chosen+2)%3]
			cut.network.isolate(true)
			g.eventually("a majority has another leader", func() bool {
				return g.leaderAmong(others, third)
			})
			g.accept(g.operator(others, third), 0, "change-1", documentOf(g.owners["ann"].PublicKey(), 3))

			accepted := time.Now()
			read := make(chan control.ReadIndexReply, 1)
			question := &readIndex{lost: func(error) { read <- control.ReadIndexReply{} }}
			question.run = func(*owner, time.Time) { read <- control.ReadIndexReply{Index: question.index} }
			cut.inbox <- question
			is.Equal((<-read).Index, uint64(0)) // no read is served

			lease := make(chan renewed, 1)
			cut.inbox <- &renew{request: control.Renew{Environment: catalog.Trial}, reply: lease}
			is.True((<-lease).err != nil) // no lease is extended

			snapshot, _ := cut.Publisher(catalog.Trial).Snapshot()
			is.Equal(snapshot.View().Version(), uint64(0))
			is.True(snapshot.ConfirmedAt().Before(accepted))
			is.True(!snapshot.Confirmed(accepted.Add(rollout.ConfirmationLimit)))

			cut.network.isolate(false)
			g.eventually("the cut controller catches up and is confirmed", func() bool {
				snapshot, _ := cut.Publisher(catalog.Trial).Snapshot()

				return snapshot.View().Version() == 1 && snapshot.ConfirmedAt().After(accepted)
			})
		})
	}
}

// leaderAmong reports whether one of the controllers answers reads itself.
func (g *fleet) leaderAmong(controllers ...*instance) bool {
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

// Guards against two pending changes, and against a loser that is not told
// who won.
func TestRacingSubmits(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 3)
	replies := make(chan control.ChangeReply, 2)

	for i, author := range []string{"ann", "bob"} {
		operator := g.operator(g.running[i])

		go func() {
			content := documentOf(g.owners["ann"].PublicKey(), 3+i)
			reply, err := operator.Submit(g.ctx, submission(0, "change-of-"+author, author, content))
			is.NoErr(err)
			replies <- reply
		}()
	}

	a, b := <-replies, <-replies
	if a.State != control.StatePending {
		a, b = b, a
	}

	is.Equal(a.State, control.StatePending)
	is.Equal(b.State, control.StateConflict)
	is.Equal(b.Change.Digest, a.Change.Digest) // the conflict names the winner
}

// Guards against an agent that stays in the view without a lease, against one
// that expires although it renews, and against unauthorised calls.
func TestMembership(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1)
	operator := g.operator()
	service := g.owners["ann"]
	g.accept(operator, 0, "change-1", documentOf(service.PublicKey(), 3))

	subscriber := g.subscribe(g.running[0])
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
	g.eventually("the agent is in the view", func() bool { return len(subscriber.current.Load().Agents()) == 1 })

	forged := announce
	forged.Zone = "yahata"
	_, err = agent.Announce(g.ctx, forged)
	is.True(err != nil)

	_, err = agent.Submit(g.ctx, submission(1, "by-agent", "ann", documentOf(service.PublicKey(), 5)))
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
	is.Equal(status.Rotation, uint64(1)) // the first leader has made the first key

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

// Guards against a controller that loses its state in a restart, from entries
// or from a snapshot, or that founds a second group because bootstrap is set.
func TestRestart(t *testing.T) {
	is := is.New(t)
	g := newGroup(t, 1)
	operator := g.operator()
	group, err := operator.Members(g.ctx)
	is.NoErr(err)

	g.settings[0].SnapshotEntries = 4

	for version := range uint64(6) {
		g.accept(operator, version, fmt.Sprint("change-", version), documentOf(g.owners["ann"].PublicKey(), 3+int(version)))
		is.NoErr(g.running[0].stop())

		g.running[0] = g.start(g.settings[0])
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
	is.True(filepath.Base(snapshots[0]) > "0000000000000001.snapshot") // newer than the founding one
}
