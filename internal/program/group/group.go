// Package group runs the parts of a program, each in a goroutine, and ends the
// program when one of them panics.
//
// # Usage
//
//	ctx, fail := context.WithCancelCause(ctx)
//	parts := group.New(fail)
//	parts.Go(func() { member.Run(living) })
//	<-ctx.Done() // also when a part has panicked: context.Cause is ErrPanicked
//	parts.Wait() // raises the panic again
//
// A panic, for example on a violated invariant, would otherwise be held back
// until the program ends for another reason, and the other parts would go on
// without the one that is gone.
package group

import (
	"context"

	"github.com/juju/errors"
	"github.com/sourcegraph/conc"
)

// ErrPanicked is the cause with which a group ends its program.
var ErrPanicked = errors.New("a part of the program has panicked")

// Group is the running parts of a program.
type Group struct {
	fail  context.CancelCauseFunc
	parts conc.WaitGroup
}

// New returns a group that calls fail when a part panics.
func New(fail context.CancelCauseFunc) *Group { return &Group{fail: fail} }

// Go runs a part.
func (g *Group) Go(part func()) {
	g.parts.Go(func() {
		defer func() {
			if cause := recover(); cause != nil {
				g.fail(ErrPanicked)
				panic(cause)
			}
		}()

		part()
	})
}

// Wait waits for all parts and raises the first panic again.
func (g *Group) Wait() { g.parts.Wait() }
