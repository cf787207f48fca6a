// Package group runs the long-lived tasks of a program, each in a goroutine, and
// ends the program when one of them panics.
//
// # Usage
//
//	ctx, fail := context.WithCancelCause(ctx)
//	tasks := group.New(fail)
//	tasks.Go(func() { member.Run(ctx) })
//	<-ctx.Done() // also when a task has panicked: context.Cause is ErrPanicked
//	tasks.Wait() // panics again
//
// With a plain wait group a panic, for example on a violated invariant, would not
// surface until the program ends for another reason, and the other tasks would
// keep running without the one that panicked.
package group

import (
	"context"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
)

// ErrPanicked is the cancellation cause after a task has panicked.
var ErrPanicked = errors.New("a task of the program has panicked")

// Group holds the running tasks of a program.
type Group struct {
	fail  context.CancelCauseFunc
	tasks conc.WaitGroup
}

// New returns a group that calls fail when a task panics.
func New(fail context.CancelCauseFunc) *Group { return &Group{fail: fail} }

// Go runs a task in a new goroutine.
func (g *Group) Go(task func()) {
	g.tasks.Go(func() {
		defer func() {
			if cause := recover(); cause != nil {
				g.fail(ErrPanicked)
				panic(cause)
			}
		}()

		task()
	})
}

// Wait waits for all tasks and re-panics with the first panic.
func (g *Group) Wait() { g.tasks.Wait() }
