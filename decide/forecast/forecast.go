package forecast

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Key identifies the answers that are alike.
type Key struct {
	Service vaneyoke.ServiceID
	Route   vaneyoke.RouteID
}

// Expected is what recent answers say about another one; a zero field is unknown.
type Expected struct {
	FirstChunk time.Duration   // from the start of a run to its first chunk; for a call, to its answer
	ChunkGap   time.Duration   // between two chunks
	Chunks     vaneyoke.Tokens // of the whole answer
}

// Table holds the samples of each key.
type Table struct{ routes map[Key]*samples }

// maxKeys bounds the memory of a table; answers of further keys are not sampled.
const maxKeys = 256

// samples holds the recent samples of one key.
type samples struct {
	first  window // prompt tokens and time to the first chunk
	gap    window // mean time between the chunks of a run
	chunks window // stated tokens and chunks of a complete answer
}

// New returns a table without samples.
func New() *Table { return &Table{routes: map[Key]*samples{}} }

func (t *Table) samplesOf(key Key) *samples {
	s := t.routes[key]
	if s == nil && len(t.routes) < maxKeys {
		s = &samples{}
		t.routes[key] = s
	}
	return s
}

// AddFirstChunk records how long a run took to its first chunk.
func (t *Table) AddFirstChunk(now time.Time, key Key, prompt vaneyoke.Tokens, elapsed time.Duration) {
	if s := t.samplesOf(key); s != nil {
		s.first.add(sample{at: now, size: float64(prompt), value: float64(elapsed)})
	}
}

// AddChunkGap records the mean time between the chunks of a run.
func (t *Table) AddChunkGap(now time.Time, key Key, gap time.Duration) {
	if s := t.samplesOf(key); s != nil {
		s.gap.add(sample{at: now, value: float64(gap)})
	}
}

// AddAnswer records the number of chunks of a complete answer whose request stated the most tokens that it may have.
func (t *Table) AddAnswer(now time.Time, key Key, stated, chunks vaneyoke.Tokens) {
	if s := t.samplesOf(key); s != nil && stated > 0 {
		s.chunks.add(sample{at: now, size: float64(stated), value: float64(chunks)})
	}
}

// Expect returns what is known about an answer to a prompt of a number of tokens that may have the stated number of tokens, 0 for unknown.
func (t *Table) Expect(now time.Time, key Key, prompt, stated vaneyoke.Tokens) Expected {
	s := t.routes[key]
	if s == nil {
		return Expected{}
	}
	expected := Expected{
		FirstChunk: time.Duration(s.first.quantile(now, fastShare, float64(prompt))),
		ChunkGap:   time.Duration(s.gap.quantile(now, fastShare, 0)),
	}
	if stated > 0 {
		expected.Chunks = vaneyoke.Tokens(float64(stated) * s.chunks.leastRatio(now))
	}
	return expected
}
