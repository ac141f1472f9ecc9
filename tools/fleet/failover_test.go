package fleet_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/check"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

const answerTokens = 120

// caller reads one answer over several connections, as a caller that resumes it.
type caller struct {
	t          *testing.T
	fleet      *fleet.Fleet
	req        client.Request
	key        string
	text       strings.Builder
	cursor     string
	ids        []vaneyoke.TokenID
	atMostOnce bool // marks the request as not repeatable
}

func newCaller(t *testing.T, f *fleet.Fleet, key string) *caller {
	req, ids := prompt("describe the carpets of stall nine length=120")
	return &caller{t: t, fleet: f, req: req, ids: ids, key: key}
}

func (c *caller) header() http.Header {
	header := http.Header{"Idempotency-Key": {c.key}}
	if c.atMostOnce {
		header.Set("Vaneyoke-Repeatable", "false")
	}
	if c.cursor != "" {
		header.Set("Last-Event-ID", c.cursor)
	}
	return header
}

func (c *caller) connect(node int) (*client.Stream, error) {
	return client.New(&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}, c.fleet.Nodes[node].URL(), fleet.CallerKey).Generate(c.t.Context(), c.req, c.header())
}

// read reads up to count chunks; it returns io.EOF at the end of the answer.
func (c *caller) read(s *client.Stream, count int) error {
	for range count {
		chunk, err := s.Next()
		if err != nil {
			return err
		}
		c.text.WriteString(chunk.Text)
		if chunk.Cursor != "" {
			c.cursor = chunk.Cursor
		}
	}
	return nil
}

// readAll reads the rest of the answer and checks the complete answer.
func (c *caller) readAll(s *client.Stream) check.Report {
	must.ErrorIs(c.t, c.read(s, 10*answerTokens), io.EOF)
	report, err := check.Answer(c.ids, c.text.String())
	must.NoError(c.t, err)
	must.Between(c.t, answerTokens, report.Tokens, answerTokens+1)
	return report
}

func TestCallerResumesAtAnotherNode(t *testing.T) {
	cases := map[string]struct {
		fault func(f *fleet.Fleet)
		seams int
	}{
		"caller reconnects":                     {func(*fleet.Fleet) {}, 0},
		"owner is killed":                       {func(f *fleet.Fleet) { f.Nodes[0].Kill() }, 0},
		"owner and engine are killed":           {func(f *fleet.Fleet) { f.BusyEngine().Kill(nil); f.Nodes[0].Kill() }, 1},
		"engine closes its connections":         {func(f *fleet.Fleet) { f.BusyEngine().CloseConnections() }, 0},
		"owner is killed, then its engine":      {func(f *fleet.Fleet) { f.Nodes[0].Kill(); f.BusyEngine().Kill(nil) }, 1},
		"owner is killed, list of VMs is stale": {func(f *fleet.Fleet) { f.Platform.SetLag(true); f.Nodes[0].Kill() }, 0},
		"owner is killed, platform is down":     {func(f *fleet.Fleet) { f.Platform.SetDown(true); f.Nodes[0].Kill() }, 0},
		"owner is killed and restarted": {func(f *fleet.Fleet) {
			f.Nodes[0].Kill()
			must.NoError(t, f.StartNode(t.Context(), 0))
		}, 0},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			f := start(t, func(c *fleet.Config) { c.Nodes = 4; c.AdjustSettings = withoutTimeouts })
			c := newCaller(t, f, "key-1")
			s, err := c.connect(0)
			must.NoError(t, err)
			must.NoError(t, c.read(s, 40))
			_ = s.Close()
			tc.fault(f)
			s, err = c.connect(1)
			must.NoError(t, err)
			must.SliceLen(t, tc.seams, c.readAll(s).Seams)
		})
	}
}

func TestOldConnectionGetsSuperseded(t *testing.T) {
	f := start(t, func(c *fleet.Config) { c.Nodes = 3; c.AdjustSettings = withoutTimeouts })
	c := newCaller(t, f, "key-2")
	old, err := c.connect(0)
	must.NoError(t, err)
	must.NoError(t, c.read(old, 20))
	fresh, err := c.connect(1)
	must.NoError(t, err)
	report := c.readAll(fresh)
	must.SliceEmpty(t, report.Seams)
	for err == nil {
		_, err = old.Next()
	}
	failed, ok := errors.AsType[*client.FailedError](err)
	must.True(t, ok)
	must.EqOp(t, "superseded", failed.Detail.Type)
}

func TestFinishedAnswerIsReplayedWithoutRun(t *testing.T) {
	f := start(t, func(c *fleet.Config) { c.Nodes = 3; c.AdjustSettings = withoutTimeouts })
	first := newCaller(t, f, "key-3")
	s, err := first.connect(0)
	must.NoError(t, err)
	first.readAll(s)
	runs := totalRuns(f)
	for name, prepare := range map[string]func(){"owner runs": func() {}, "owner was killed": f.Nodes[0].Kill} {
		prepare()
		again := newCaller(t, f, "key-3")
		s, err = again.connect(2)
		must.NoError(t, err, must.Sprint(name))
		again.readAll(s)
		must.EqOp(t, first.text.String(), again.text.String())
		must.EqOp(t, runs, totalRuns(f))
	}
}

func totalRuns(f *fleet.Fleet) int64 {
	var runs int64
	for _, e := range f.Engines {
		runs += e.Stats().Runs
	}
	return runs
}

func TestInvalidResumptionIsRefused(t *testing.T) {
	f := start(t, func(c *fleet.Config) { c.Nodes = 3; c.AdjustSettings = withoutTimeouts })
	c := newCaller(t, f, "key-4")
	s, err := c.connect(0)
	must.NoError(t, err)
	must.NoError(t, c.read(s, 20))
	validCursor := c.cursor
	cases := map[string]struct {
		change func(c *caller)
		want   string
	}{
		"another body":             {func(c *caller) { c.req.MaxTokens = 7 }, "conflict"},
		"marked as not repeatable": {func(c *caller) { c.atMostOnce = true; c.cursor = "" }, "conflict"},
		"forged cursor":            {func(c *caller) { c.cursor = validCursor[:30] + string(validCursor[30]^1) + validCursor[31:] }, "bad_request"},
		"cut cursor":               {func(c *caller) { c.cursor = validCursor[:40] }, "bad_request"},
		"cursor without key":       {func(c *caller) { c.key = "" }, "bad_request"},
		"cursor of another":        {func(c *caller) { c.key = "key-5" }, "answer_lost"},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			resumed := newCaller(t, f, "key-4")
			resumed.cursor = validCursor
			tc.change(resumed)
			_, err := resumed.connect(1)
			failed, ok := errors.AsType[*client.FailedError](err)
			must.True(t, ok, must.Sprint(err))
			must.EqOp(t, tc.want, failed.Detail.Type)
		})
	}
}

func TestAnswerHeldByNoNodeIsReportedLost(t *testing.T) {
	f := start(t, func(c *fleet.Config) { c.Nodes = 2; c.AdjustSettings = withoutTimeouts })
	c := newCaller(t, f, "key-6")
	s, err := c.connect(0)
	must.NoError(t, err)
	must.NoError(t, c.read(s, 20))
	for i := range f.Nodes {
		f.Nodes[i].Kill()
		must.NoError(t, f.StartNode(t.Context(), i))
	}
	_, err = c.connect(1)
	failed, ok := errors.AsType[*client.FailedError](err)
	must.True(t, ok, must.Sprint(err))
	must.EqOp(t, "answer_lost", failed.Detail.Type)
}
