package measure

import (
	"bytes"
	"context"
	"expvar"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"
	"google.golang.org/protobuf/proto"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/decide/openai"
	"github.com/vaneyoke/vaneyoke/decide/placement"
	"github.com/vaneyoke/vaneyoke/decide/policy"
	"github.com/vaneyoke/vaneyoke/decide/retry"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/shell/relay"
	"github.com/vaneyoke/vaneyoke/wire/engine"
	"github.com/vaneyoke/vaneyoke/wire/peer"
)

const tokensPerStream = 200

// fixedStream is a transport that answers every run with the same stream of tokens. The end of the stream waits for gate, if it is set.
type fixedStream struct {
	body []byte
	gate <-chan struct{}
}

func newFixedStream(gate <-chan struct{}) fixedStream {
	var b bytes.Buffer
	for i := range tokensPerStream {
		fmt.Fprintf(&b, "id: %d\ndata: {\"id\":\"run\",\"choices\":[{\"index\":0,\"prompt_token_ids\":[1,2],\"token_ids\":[%d],\"text\":\" word%d\",\"finish_reason\":null}]}\n\n", i+1, 1000+i, i%100)
	}
	return fixedStream{body: b.Bytes(), gate: gate}
}

// RoundTrip returns the stream.
func (f fixedStream) RoundTrip(*http.Request) (*http.Response, error) {
	end := "data: {\"choices\":[{\"index\":0,\"token_ids\":[],\"finish_reason\":\"stop\"}]}\n\n"
	body := io.MultiReader(bytes.NewReader(f.body), &gatedReader{gate: f.gate, rest: bytes.NewReader([]byte(end))})
	return &http.Response{StatusCode: http.StatusOK, Body: io.NopCloser(body)}, nil
}

// gatedReader is a reader that blocks until its gate is closed.
type gatedReader struct {
	gate <-chan struct{}
	rest io.Reader
}

// Read waits for the gate and then reads.
func (g *gatedReader) Read(p []byte) (int, error) {
	if g.gate != nil {
		<-g.gate
	}
	return g.rest.Read(p)
}

// singleEnginePlacer places every request on the same engine.
type singleEnginePlacer struct{}

// Place returns the engine.
func (singleEnginePlacer) Place(placement.Need, bool) (vaneyoke.Upstream, time.Duration, error) {
	return vaneyoke.Upstream{ID: "e", URL: "http://engine"}, 0, nil
}

// The remaining methods of relay.Placer have no effect.
func (singleEnginePlacer) PromptHolders(placement.Need) []vaneyoke.Upstream      { return nil }
func (singleEnginePlacer) Reported(vaneyoke.UpstreamID, vaneyoke.LoadReport)     {}
func (singleEnginePlacer) HasRoom(placement.Need) bool                           { return true }
func (singleEnginePlacer) SpilloverUpstreams(placement.Need) []vaneyoke.Upstream { return nil }
func (singleEnginePlacer) AffinityUpstreams(placement.Need) []vaneyoke.Upstream  { return nil }
func (singleEnginePlacer) RefundRetry(placement.Need)                            {}
func (singleEnginePlacer) Admit(placement.Need)                                  {}
func (singleEnginePlacer) PickReplica(placement.Need, vaneyoke.Upstream) (vaneyoke.Upstream, bool) {
	return vaneyoke.Upstream{}, false
}
func (singleEnginePlacer) ReleaseReplica(vaneyoke.UpstreamID, placement.Need) {}
func (singleEnginePlacer) Resumed(vaneyoke.UpstreamID)                        {}

// Ended ignores the outcome.
func (singleEnginePlacer) Ended(vaneyoke.UpstreamID, placement.Outcome, bool) {}

// FirstToken ignores the latency.
func (singleEnginePlacer) FirstToken(vaneyoke.UpstreamID, time.Duration, int) {}

func newRelay(stream fixedStream) *relay.Relay {
	client := &http.Client{Transport: stream}
	log := logrus.New()
	log.SetOutput(io.Discard)
	log.SetLevel(logrus.PanicLevel)
	config := relay.Config{Generation: generation.DefaultConfig()}
	// Streams that wait for their gate must not be treated as silent.
	config.Generation.Silence = generation.Silence{FirstToken: time.Hour, Floor: time.Hour, Ceiling: time.Hour}
	tracer := noop.NewTracerProvider().Tracer("")
	return relay.New(engine.New(client, client), nil, singleEnginePlacer{}, tracer, relay.NewMetrics(new(expvar.Map).Init()), log, config)
}

func request(i int) *vaneyoke.Request {
	return &vaneyoke.Request{
		ID: vaneyoke.RequestID(fmt.Sprintf("r%d", i)), Endpoint: vaneyoke.EndpointChat, Model: "m",
		Continuable: true, Repeatable: true, Fields: vaneyoke.Fields{}, MaxWait: time.Minute, ReceivedAt: time.Now(),
	}
}

// tokenTime measures the processor time of tokens through sessions, readers and encoder, without sockets.
func tokenTime(ctx context.Context) Series {
	s := Series{Name: "token_time", X: "streams at once", Y: "processor time of all their tokens in us"}
	for _, streams := range []int{10, 100, 1000, 5000} {
		r := newRelay(newFixedStream(nil))
		before := processorTime()
		var wait sync.WaitGroup
		for i := range streams {
			wait.Go(func() { readAll(ctx, r.Generate(ctx, request(i))) })
		}
		wait.Wait()
		s.Points = append(s.Points, Point{X: float64(streams), Y: float64((processorTime() - before).Microseconds())})
	}
	return s
}

// readAll reads a session to its end, as a caller's connection does.
func readAll(ctx context.Context, session *relay.Session) {
	writer := openai.NewWriter(session.Request(), time.Now())
	from := 0
	for {
		text, result, err := session.Read(ctx, from)
		if err != nil || result.Ended {
			return
		}
		from += len(text)
		_, _ = io.Discard.Write(writer.Text("", text))
	}
}

// sessionMemory measures the memory of running sessions that have delivered 200 tokens.
func sessionMemory(ctx context.Context) Series {
	s := Series{Name: "session_memory", X: "running sessions", Y: "heap in bytes"}
	for _, sessions := range []int{100, 1000, 10_000} {
		gate := make(chan struct{})
		r := newRelay(newFixedStream(gate))
		before := heapBytes()
		list := make([]*relay.Session, sessions)
		for i := range list {
			list[i] = r.Generate(ctx, request(i))
		}
		for _, session := range list {
			for len(session.Save().Restored.IDs) < tokensPerStream {
				time.Sleep(time.Millisecond)
			}
		}
		s.Points = append(s.Points, Point{X: float64(sessions), Y: heapBytes() - before})
		close(gate)
		for _, session := range list {
			_, _ = session.Wait(ctx)
		}
	}
	return s
}

// delta returns a push of count tokens; the first push of a session contains its key.
func delta(session, from, count int) journal.Delta {
	d := journal.Delta{
		Handle: journal.Handle{Number: uint64(session)},
		From:   vaneyoke.Tokens(from), TextFrom: 5 * from,
	}
	if from == 0 {
		d.Key = journal.Key{Workspace: "weavers", Key: fmt.Sprintf("key-%d", session)}
		d.Entry = journal.Entry{Request: vaneyoke.RequestID(fmt.Sprintf("request-%d", session)), Epoch: 1, BodyDigest: string(make([]byte, 32))}
		d.Stream = &journal.Stream{Name: fmt.Sprintf("request-%d.1.1", session), Upstream: "engine-1"}
	}
	for i := range count {
		d.IDs = append(d.IDs, vaneyoke.TokenID(30_000+i))
		d.Text = append(d.Text, " word"...)
	}
	return d
}

// tokensPerPush is the number of tokens between two pushes, 250 ms apart, of a stream of 34 tokens per second.
const tokensPerPush = 9

// journalBytes measures the encoded size of journal pushes.
func journalBytes(context.Context) Series {
	s := Series{Name: "journal_wire", X: "tokens", Y: "bytes of pushes"}
	for _, sessions := range []int{10, 100, 1000} {
		size := 0
		for i := range sessions {
			size += proto.Size(peer.DeltaToWire(delta(i+1, 100, tokensPerPush)))
		}
		s.Points = append(s.Points, Point{X: float64(sessions * tokensPerPush), Y: float64(size)})
	}
	return s
}

// journalTime measures the processor time of the journal store, including encoding and decoding of the pushes.
func journalTime(context.Context) Series {
	s := Series{Name: "journal_time", X: "pushed deltas", Y: "processor time in us"}
	for _, sessions := range []int{100, 1000, 10_000} {
		store := journal.New(journal.Config{MaxBytes: 1 << 30, Retention: time.Hour})
		now := time.Now()
		before := processorTime()
		for push := range 5 {
			for i := range sessions {
				raw, err := proto.Marshal(peer.DeltaToWire(delta(i, tokensPerPush*push, tokensPerPush)))
				if err == nil {
					store.Push(now, peer.ParseDelta(raw))
				}
			}
		}
		s.Points = append(s.Points, Point{X: float64(5 * sessions), Y: float64((processorTime() - before).Microseconds())})
	}
	return s
}

// journalMemory measures the memory of journals of 200 tokens.
func journalMemory(context.Context) Series {
	s := Series{Name: "journal_memory", X: "journals of 200 tokens", Y: "heap in bytes"}
	for _, sessions := range []int{100, 1000, 10_000} {
		before := heapBytes()
		store := journal.New(journal.Config{MaxBytes: 1 << 30, Retention: time.Hour})
		for i := range sessions {
			store.Push(time.Now(), delta(i, 0, tokensPerStream))
		}
		s.Points = append(s.Points, Point{X: float64(sessions), Y: heapBytes() - before})
		store.Drop(journal.Key{})
	}
	return s
}

// placementTime measures the time of one placement decision.
func placementTime(context.Context) Series {
	s := Series{Name: "placement_time", X: "engines", Y: "time of one choice in ns"}
	for _, engines := range []int{27, 100, 400, 690} {
		state := placement.New("hall-a", retry.DefaultBreakerConfig())
		var upstreams []vaneyoke.Upstream
		for i := range engines {
			upstreams = append(upstreams, vaneyoke.Upstream{
				ID: vaneyoke.UpstreamID(fmt.Sprintf("engine-%d", i)), Kind: vaneyoke.KindEngine, State: vaneyoke.StateLive,
				DataCentre: vaneyoke.DataCentreID(fmt.Sprintf("hall-%d", i%8)), Models: []vaneyoke.ModelID{vaneyoke.ModelID(fmt.Sprintf("m%d", i%14))},
			})
		}
		state.SetUpstreams(upstreams)
		rng := rand.New(rand.NewPCG(1, 1))
		now := time.Now()
		need := placement.Need{Kind: vaneyoke.KindEngine, Model: "m3"}
		s.Points = append(s.Points, Point{X: float64(engines), Y: nanosecondsPerCall(func() { state.Pick(now, rng, need) })})
	}
	return s
}

// policyTime measures the time of one policy decision with 100 policies; the workspaces take turns.
func policyTime(context.Context) Series {
	s := Series{Name: "policy_time", X: "workspaces", Y: "time of one decision in ns"}
	for _, workspaces := range []int{10, 100, 1000, 5300} {
		set := policy.NewSet(hundredPolicies())
		now := time.Now().Truncate(time.Hour)
		i := 0
		queries := make([]policy.Query, workspaces)
		for w := range queries {
			queries[w] = policy.Query{Workspace: fmt.Sprintf("w%d", w), Kind: "p50", Model: "m", DataCentre: "hall-a"}
			set.Decide(now, queries[w])
		}
		s.Points = append(s.Points, Point{X: float64(workspaces), Y: nanosecondsPerCall(func() { set.Decide(now, queries[i%workspaces]); i++ })})
	}
	return s
}

func hundredPolicies() []*policy.Policy {
	var list []*policy.Policy
	for i := range 100 {
		text := fmt.Sprintf("[policy]\nname = p%d\n[rule.r]\nwhen = kind == \"p%d\" and hour >= 0\nwait = 2s\n", i, i)
		if p, problems := policy.Compile([]byte(text)); len(problems) == 0 {
			list = append(list, p)
		}
	}
	return list
}

// configurationMemory measures the memory of a node's copy of the configuration.
func configurationMemory(context.Context) Series {
	s := Series{Name: "configuration_memory", X: "workspaces", Y: "heap in bytes"}
	for _, workspaces := range []int{10, 100, 1000, 5300} {
		before := heapBytes()
		snapshot := catalog.New(catalog.Content{Revision: 1, Workspaces: manyWorkspaces(workspaces)})
		s.Points = append(s.Points, Point{X: float64(workspaces), Y: heapBytes() - before})
		_ = snapshot.Members()
	}
	return s
}

func manyWorkspaces(count int) []vaneyoke.Workspace {
	list := make([]vaneyoke.Workspace, count)
	for i := range list {
		list[i] = vaneyoke.Workspace{
			ID: vaneyoke.WorkspaceID(fmt.Sprintf("workspace-%05d", i)), Recovery: vaneyoke.RecoverFast,
			Keys: []vaneyoke.Key{
				{Hash: catalog.HashKey(fmt.Sprintf("a%d", i)), Role: vaneyoke.RoleCaller},
				{Hash: catalog.HashKey(fmt.Sprintf("b%d", i)), Role: vaneyoke.RoleOperator},
			},
		}
	}
	return list
}
