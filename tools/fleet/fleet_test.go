package fleet_test

import (
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/tools/check"
	"github.com/vaneyoke/vaneyoke/tools/client"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

func start(t *testing.T, adjust func(*fleet.Config)) *fleet.Fleet {
	t.Helper()
	config := fleet.Config{
		Nodes: 2, Engines: 3, Services: 1,
		Engine:   standin.DefaultEngineConfig(),
		Recovery: vaneyoke.RecoverFast,
		Log:      t.Output(), LogLevel: "warning", TraceOutput: "off",
	}
	if adjust != nil {
		adjust(&config)
	}
	f, err := fleet.Start(t.Context(), config)
	must.NoError(t, err)
	t.Cleanup(f.Close)
	return f
}

// withoutTimeouts sets the timeouts for silent and slow upstreams and peers so high that they never expire.
func withoutTimeouts(s *settings.Settings) {
	s.Recovery.FirstToken, s.Recovery.Floor, s.Recovery.Ceiling = time.Hour, time.Hour, time.Hour
	s.Peers.AckWait, s.Peers.CallTimeout = time.Minute, time.Minute
	s.Platform.Fresh = time.Hour
}

func prompt(text string) (client.Request, []vaneyoke.TokenID) {
	messages := []openai.Message{{Role: "user", Content: text}}
	return client.Request{Model: fleet.Model, Messages: messages}, check.Tokenize(standin.ChatPrompt(messages))
}

// read reads an answer to its end, and calls onChunk with the number of chunks read so far.
func read(t *testing.T, s *client.Stream, onChunk func(int)) (string, vaneyoke.FinishReason) {
	t.Helper()
	var text strings.Builder
	var reason vaneyoke.FinishReason
	for n := 1; ; n++ {
		chunk, err := s.Next()
		if errors.Is(err, io.EOF) {
			return text.String(), reason
		}
		must.NoError(t, err)
		text.WriteString(chunk.Text)
		reason = chunk.Reason
		if onChunk != nil {
			onChunk(n)
		}
	}
}

func TestAnswerResumesAfterEngineFault(t *testing.T) {
	const tokens = 120
	kill := func(e *standin.Engine) { e.Kill(nil) }
	cut := func(e *standin.Engine) { e.CloseConnections() }
	faults := map[string]struct {
		fault         func(*standin.Engine)
		chunk         int
		seams         int
		detectSilence bool // keeps the timeouts; without them a slow machine adds no seam
	}{
		"none":                         {func(*standin.Engine) {}, 1, 0, false},
		"kill":                         {kill, 1, 1, false},
		"kill, three tokens per chunk": {kill, 3, 1, false},
		"close connections":            {cut, 1, 0, false},
		"cut, three tokens per chunk":  {cut, 3, 0, false},
		"pause":                        {func(e *standin.Engine) { e.Pause(); time.AfterFunc(time.Second, e.Continue) }, 1, 1, true},
		"malformed":                    {func(e *standin.Engine) { e.SendMalformedEvents(1) }, 1, 1, false},
		"error in mid-stream":          {func(e *standin.Engine) { e.SendErrorEvents(1) }, 1, 0, false},
	}
	for name, tc := range faults {
		t.Run(name, func(t *testing.T) {
			f := start(t, func(c *fleet.Config) {
				c.Engine.ChunkTokens = tc.chunk
				if !tc.detectSilence {
					c.AdjustSettings = withoutTimeouts
				}
			})
			req, ids := prompt("reconcile the manifest of depot seven length=120")
			s, err := client.New(http.DefaultClient, f.Nodes[0].URL(), fleet.CallerKey).Generate(t.Context(), req, nil)
			must.NoError(t, err)
			text, reason := read(t, s, func(n int) {
				if n == 30 {
					tc.fault(f.BusyEngine())
				}
			})
			report, err := check.Answer(ids, text)
			must.NoError(t, err)
			must.Between(t, tokens, report.Tokens, tokens+1)
			must.EqOp(t, vaneyoke.FinishStop, reason)
			if tc.detectSilence {
				must.SliceNotEmpty(t, report.Seams)
			} else {
				must.SliceLen(t, tc.seams, report.Seams)
			}
		})
	}
}

// TestAnswerCompletesAfterLostFinishEvent guards against an answer that never ends or gets extra tokens when the event with its last token and finish reason is lost.
func TestAnswerCompletesAfterLostFinishEvent(t *testing.T) {
	for name, engineRuns := range map[string]bool{"engine keeps running": true, "engine is killed": false} {
		t.Run(name, func(t *testing.T) {
			f := start(t, func(c *fleet.Config) { c.AdjustSettings = withoutTimeouts })
			req, ids := prompt("reconcile the manifest of depot eight length=40")
			s, err := client.New(http.DefaultClient, f.Nodes[0].URL(), fleet.CallerKey).Generate(t.Context(), req, nil)
			must.NoError(t, err)
			faulty := f.BusyEngine()
			text, reason := read(t, s, func(n int) {
				if n == 38 {
					faulty.SendErrorEvents(2)
				}
				if n == 39 && !engineRuns {
					faulty.Kill(nil)
				}
			})
			report, err := check.Answer(ids, text)
			must.NoError(t, err)
			must.Between(t, 40, report.Tokens, 41)
			must.EqOp(t, vaneyoke.FinishStop, reason)
		})
	}
}
