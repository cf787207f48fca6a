package group_test

import (
	"context"
	"testing"

	"github.com/juju/errors"
	"github.com/matryer/is"

	"jayspindle/internal/program/group"
)

// Guards against a program that runs on without a part that has panicked, and
// against a panic that is lost.
func TestPanic(t *testing.T) {
	is := is.New(t)
	ctx, fail := context.WithCancelCause(context.Background())
	parts := group.New(fail)

	parts.Go(func() { <-ctx.Done() })
	parts.Go(func() { panic("violated") })

	<-ctx.Done()
	is.True(errors.Is(context.Cause(ctx), group.ErrPanicked))

	defer func() { is.True(recover() != nil) }()

	parts.Wait()
}
