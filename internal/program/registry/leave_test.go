package registry_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
)

// newClusterWithSpare returns a group of five controllers and the successor of one of them.
func newClusterWithSpare(t *testing.T) *cluster {
	t.Helper()

	c := newCluster(t)
	c.bootstrap(5)
	c.submit(1)
	c.start(6, "6", false)
	c.expectVoters(6)

	return c
}

// expectVoters waits until all controllers know of so many voters.
func (c *cluster) expectVoters(want int) {
	c.Helper()
	c.eventually(fmt.Sprintf("%d controllers vote", want), func() bool {
		return !slices.ContainsFunc(c.processes(), func(p *process) bool { return p.Metrics().Voters != want })
	})
}

// find returns the controller that leads, or one that does not.
func (c *cluster) find(leads bool) int {
	c.Helper()

	found := 0

	c.eventually(fmt.Sprintf("a controller with leads %t", leads), func() bool {
		for number, p := range c.running {
			if _, _, err := p.Newest(context.Background()); (err == nil) == leads {
				found = number
			}
		}

		return found != 0
	})

	return found
}

// numbers returns the running controllers in order.
func (c *cluster) numbers() []int {
	var numbers []int

	for number := range c.running {
		numbers = append(numbers, number)
	}

	slices.Sort(numbers)

	return numbers
}

// TestLostDisksAfterReplacement guards against the loss of an accepted document, and of the
// whole group, when two disks are lost right after a controller was replaced as planned: the
// one that had left still counted towards the majority.
func TestLostDisksAfterReplacement(t *testing.T) {
	t.Parallel()

	for _, leads := range []bool{true, false} {
		t.Run(fmt.Sprintf("leader %t", leads), func(t *testing.T) {
			t.Parallel()

			c := newClusterWithSpare(t)

			leaving := c.find(leads)
			c.kill(leaving)
			c.submit(2)

			lost := c.numbers()[:2]
			for _, number := range lost {
				c.kill(number)
			}

			for _, number := range lost {
				c.start(number, fmt.Sprintf("%d-empty", number), false)
			}

			c.expectDocument(2)
			c.submit(3)
			c.expectDocument(3)
		})
	}
}

// TestRestartsWithSpare guards against a controller that left the group at a planned stop and
// is not added again when it returns with its disk.
func TestRestartsWithSpare(t *testing.T) {
	t.Parallel()

	c := newClusterWithSpare(t)

	for _, number := range []int{c.find(true), c.find(false)} {
		c.kill(number)
		c.submit(uint64(1 + number))
		c.start(number, fmt.Sprint(number), false)
		c.expectMembers(1, 2, 3, 4, 5, 6)
		c.expectVoters(6)
	}

	c.submit(10)
	c.expectDocument(10)
}

// TestRejoinsWithoutSeeds guards against controllers that have lost their disks and never join
// the group again, because none of the controllers that they were told of can help them.
func TestRejoinsWithoutSeeds(t *testing.T) {
	t.Parallel()

	restart := func(c *cluster, numbers ...int) {
		for _, number := range numbers {
			c.kill(number)
		}

		for _, number := range numbers {
			c.start(number, fmt.Sprintf("%d-empty", number), false)
		}
	}

	t.Run("still members", func(t *testing.T) {
		t.Parallel()

		c := newClusterWithSpare(t)
		c.kill(1)
		c.expectVoters(5)
		restart(c, 2, 3) // the seeds are 1, 2 and 3
		c.expectMembers(2, 3, 4, 5, 6)
		c.expectVoters(5)

		restart(c, 4, 5)
		c.expectDocument(1)
	})

	t.Run("removed before the start", func(t *testing.T) {
		t.Parallel()

		c := newClusterWithSpare(t)
		c.seeds = c.seeds[:1]
		restart(c, 1)
		c.expectMembers(1, 2, 3, 4, 5, 6)
		c.expectDocument(1)
	})
}
