package fleet_test

import (
	"errors"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// TestPromptThatCrashesEngines guards against a prompt that crashes every engine that starts to run it. A node sent such a prompt to up to eight
// engines, and again to as many at each retry of its caller, because crashes were counted by engine and within one request, but not by prompt.
func TestPromptThatCrashesEngines(t *testing.T) {
	const repeats, otherRequests, down = 12, 60, 200 * time.Millisecond
	f := start(t, func(c *fleet.Config) {
		c.Engines = 8
		c.Engine.CrashText, c.Engine.RestartTime = "end of it", down
	})
	var work sync.WaitGroup
	for i := range otherRequests {
		work.Go(func() {
			time.Sleep(time.Duration(i) * 20 * time.Millisecond)
			req, _ := prompt(fmt.Sprint("innocent ", i))
			req.MaxTokens = 10
			s, err := client.New(http.DefaultClient, f.Nodes[i%2].URL(), fleet.CallerKey).Generate(t.Context(), req, nil)
			must.NoError(t, err)
			_, _ = read(t, s, nil)
		})
	}
	statuses := map[int]int{}
	for i := range repeats {
		req, _ := prompt("this is the end of it")
		s, err := client.New(http.DefaultClient, f.Nodes[i%2].URL(), fleet.CallerKey).Generate(t.Context(), req, nil)
		if err == nil {
			_ = s.Close()
			t.Fatal("the prompt was answered")
		}
		statuses[statusOf(err)]++
		time.Sleep(down / 2)
	}
	work.Wait()
	crashes := int64(0)
	for _, e := range f.Engines {
		crashes += e.Stats().Crashes
	}
	t.Logf("%d crashes, answers %v", crashes, statuses)
	must.Between(t, 3, crashes, 2*3) // each node counts crashes on its own
}

// statusOf returns the HTTP status of an error answer, or 0 for another error.
func statusOf(err error) int {
	if failed, ok := errors.AsType[*client.FailedError](err); ok {
		return failed.Status
	}
	return 0
}
