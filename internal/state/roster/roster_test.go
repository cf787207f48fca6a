package roster_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"jayspindle/internal/state/flow"
	"jayspindle/internal/state/roster"
)

var start = time.Unix(1_000_000, 0)

func record(lastByte byte, state roster.State) roster.Record {
	return roster.Record{
		Address: flow.Endpoint{IP: [4]byte{10, 0, 0, lastByte}, Port: 1}, Boot: 7, Service: "desk", State: state, Slots: 2,
	}
}

func states(records []roster.Record) map[byte]roster.State {
	found := map[byte]roster.State{}
	for _, r := range records {
		found[r.Address.IP[3]] = r.State
	}

	return found
}

// TestAnnounce guards against reordered or delayed announcements that restore an
// outdated state.
func TestAnnounce(t *testing.T) {
	is := is.New(t)
	list := roster.New(1)

	is.True(list.Announce(start, record(1, roster.Ready), 5))
	is.True(list.Announce(start, record(1, roster.Draining), 6))
	is.True(!list.Announce(start, record(1, roster.Ready), 4)) // delayed

	restarted := record(1, roster.Starting)
	restarted.Boot = 8
	is.True(list.Announce(start, restarted, 1))
	is.True(!list.Announce(start, record(1, roster.Ready), 9)) // of the earlier start

	records, _ := list.Since(0)
	is.Equal(states(records), map[byte]roster.State{1: roster.Starting})
}

// TestWrongAnnouncement guards against an agent that is considered lost, with its open
// flows, because one announcement in its name was not its own.
func TestWrongAnnouncement(t *testing.T) {
	const interval = 400 * time.Millisecond

	for name, wrong := range map[string]struct{ boot, sequence uint64 }{
		"high sequence": {7, 1 << 60},
		"another start": {99, 1},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := roster.New(1)
			now := start
			list.Announce(now, record(1, roster.Ready), 5)

			odd := record(1, roster.Ended)
			odd.Boot = wrong.boot
			list.Announce(now, odd, wrong.sequence)

			for sequence := range uint64(20) {
				now = now.Add(interval)
				list.Announce(now, record(1, roster.Ready), 6+sequence)
				list.Expire(now)

				records, _ := list.Since(0)
				is.Equal(len(records), 1)
				is.True(records[0].State != roster.Silent)
			}

			records, _ := list.Since(0)
			is.Equal(states(records), map[byte]roster.State{1: roster.Ready})
			is.Equal(records[0].Boot, uint64(7))
		})
	}
}

// TestSince guards against followers that miss a change, or get all records with
// each poll.
func TestSince(t *testing.T) {
	is := is.New(t)
	list := roster.New(1)
	list.Announce(start, record(1, roster.Ready), 1)
	list.Announce(start, record(2, roster.Ready), 1)

	records, position := list.Since(0)
	is.Equal(len(records), 2)

	list.Announce(start, record(2, roster.Draining), 2)
	list.Announce(start, record(1, roster.Ready), 2) // no change

	records, position = list.Since(position)
	is.Equal(states(records), map[byte]roster.State{2: roster.Draining})

	records, _ = list.Since(position)
	is.Equal(len(records), 0)
}

// TestExpire guards against lost agents that keep receiving new flows.
func TestExpire(t *testing.T) {
	is := is.New(t)
	list := roster.New(1)
	list.Announce(start, record(1, roster.Ready), 1)
	_, position := list.Since(0)

	is.True(!list.Expire(start.Add(roster.SilentTimeout)))
	is.True(list.Expire(start.Add(roster.SilentTimeout + 1)))

	records, position := list.Since(position)
	is.Equal(states(records), map[byte]roster.State{1: roster.Silent})

	is.True(list.Announce(start.Add(2*time.Second), record(1, roster.Ready), 2)) // the agent announces itself again
	is.True(list.Expire(start.Add(2*time.Second + roster.GoneTimeout + 1)))

	records, _ = list.Since(position)
	is.Equal(states(records), map[byte]roster.State{1: roster.Gone})

	all, _ := list.Since(0)
	is.Equal(len(all), 0) // a new follower doesn't need records of gone agents
}

// TestAway guards against an agent that counts as lost, with its open flows, because its
// planned restart takes longer than a few announcements.
func TestAway(t *testing.T) {
	is := is.New(t)
	list := roster.New(1)
	away := record(1, roster.Ready)
	list.Announce(start, away, 1)

	away.Away = true
	is.True(list.Announce(start, away, 2)) // followers learn it at once

	_, position := list.Since(0)
	is.True(!list.Expire(start.Add(roster.GoneTimeout)))
	is.True(list.Expire(start.Add(roster.GoneTimeout + 1)))

	records, _ := list.Since(position)
	is.Equal(states(records), map[byte]roster.State{1: roster.Gone})

	restarted := record(1, roster.Ready)
	restarted.Boot++
	is.True(list.Announce(start.Add(roster.GoneTimeout+2), restarted, 1))
	is.True(list.Expire(start.Add(2*roster.GoneTimeout - 1))) // silent like any other
}

// TestLoad guards against a change for each small fluctuation of the number of flows.
func TestLoad(t *testing.T) {
	is := is.New(t)
	list := roster.New(1)

	loaded := record(1, roster.Ready)
	loaded.Flows = 100
	list.Announce(start, loaded, 1)

	_, position := list.Since(0)

	for sequence, flows := range []uint16{101, 105, 95} {
		loaded.Flows = flows
		list.Announce(start, loaded, uint64(2+sequence))
	}

	records, _ := list.Since(position)
	is.Equal(len(records), 0)

	loaded.Flows = 130
	list.Announce(start, loaded, 9)

	records, _ = list.Since(position)
	is.Equal(len(records), 1)
	is.Equal(records[0].Flows, uint16(130))
}
