package pause_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/pause"
)

func TestFor(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		must.True(t, pause.For(t.Context(), time.Hour))
		must.EqOp(t, time.Hour, time.Since(began))
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		must.False(t, pause.For(ctx, time.Hour))
		must.EqOp(t, time.Hour+time.Minute, time.Since(began))
	})
}
