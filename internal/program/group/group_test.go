package group_test

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"jayspindle/internal/program/group"
)

// Guards against a program that keeps running after a task has panicked, and
// against a panic that is swallowed.
func TestPanic(t *testing.T) {
	is := is.New(t)
	ctx, fail := context.WithCancelCause(context.Background())
	tasks := group.New(fail)

	tasks.Go(func() { <-ctx.Done() })
	tasks.Go(func() { panic("violated") })

	<-ctx.Done()
	is.True(errors.Is(context.Cause(ctx), group.ErrPanicked))

	defer func() { is.True(recover() != nil) }()

	tasks.Wait()
}
