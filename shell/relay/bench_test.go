package relay_test

import (
	"bytes"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/wire/engine"
)

const streamTokens = 1000

// streamBody returns an engine's stream of streamTokens events.
func streamBody() []byte {
	var b bytes.Buffer
	for i := range streamTokens {
		fmt.Fprintf(&b, "id: %d\ndata: {\"id\":\"run\",\"choices\":[{\"index\":0,\"token_ids\":[%d],\"text\":\" word%d\",\"finish_reason\":null}]}\n\n", i+1, 1000+i, i)
	}
	b.WriteString("data: {\"choices\":[{\"index\":0,\"token_ids\":[],\"text\":\"\",\"finish_reason\":\"stop\"}]}\n\n")
	return b.Bytes()
}

// fixedTransport answers every request with the same stream.
type fixedTransport struct{ body []byte }

func (f fixedTransport) RoundTrip(*http.Request) (*http.Response, error) {
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(bytes.NewReader(f.body))}, nil
}

func newClient() *engine.Client {
	client := &http.Client{Transport: fixedTransport{streamBody()}}
	return engine.New(client, client)
}

// relayStream passes one stream through the parser, the state machine and the encoder, and returns the number of tokens.
func relayStream(tb testing.TB, client *engine.Client, out io.Writer) vaneyoke.Tokens {
	req := &vaneyoke.Request{ID: "r", Endpoint: vaneyoke.EndpointChat, Model: "m"}
	state := generation.New(generation.DefaultConfig(), rand.New(rand.NewPCG(1, 1)))
	now := time.Unix(1, 0)
	state.Handle(now, generation.Admitted{})
	state.Handle(now, generation.Placed{Attempt: 1, Upstream: "e"})
	stream, err := client.Start(tb.Context(), "http://engine", "r.1", openai.EngineRequest{Path: openai.PathChat}, 0, true)
	must.NoError(tb, err)
	writer := openai.NewWriter(req, now)
	received := &generation.Received{Attempt: 1}
	sent := 0
	for {
		message, err := stream.Next()
		if err != nil {
			return state.Transcript().Len()
		}
		switch m := message.(type) {
		case *engine.Tokens:
			received.Batch = m.Batch
			now = now.Add(time.Millisecond)
			state.Handle(now, received)
			t := state.Transcript()
			_, _ = out.Write(writer.Text("", t.Text[sent:t.Visible]))
			sent = t.Visible
		case engine.End:
			state.Handle(now, generation.Ended{Attempt: 1, Reason: m.Reason})
		}
	}
}

// BenchmarkToken measures the CPU time of one token within a node, without sockets.
func BenchmarkToken(b *testing.B) {
	client := newClient()
	tokens := 0
	b.ReportAllocs()
	for b.Loop() {
		tokens += int(relayStream(b, client, io.Discard))
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(tokens), "ns/token")
}

// TestTokenAllocations bounds the allocations per token, which do not depend on the speed of the machine.
func TestTokenAllocations(t *testing.T) {
	const maxAllocs = 3
	client := newClient()
	must.EqOp(t, streamTokens, relayStream(t, client, io.Discard))
	perStream := testing.AllocsPerRun(20, func() { relayStream(t, client, io.Discard) })
	must.Less(t, maxAllocs, perStream/streamTokens)
}
