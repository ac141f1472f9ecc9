package pushback_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/pushback"
)

var (
	begin = time.Unix(1000, 0)
	life  = vaneyoke.Upstream{ID: "u", URL: "http://u", Incarnation: 5}
)

// said is a signal of an upstream's life at a time.
type said struct {
	after    time.Duration
	by       vaneyoke.Upstream
	pushback time.Duration
	leaving  bool
}

func (s said) note(b *pushback.Book) {
	b.Note(begin.Add(s.after), pushback.Signal{Upstream: s.by, Pushback: s.pushback, Leaving: s.leaving})
}

// TestHoldsEndByWhatWasAsked lists what an upstream said, and until when it is held back.
func TestHoldsEndByWhatWasAsked(t *testing.T) {
	again, moved, earlier, unknown := life, life, life, life
	again.Incarnation, moved.URL, earlier.Incarnation, unknown.Incarnation = 6, "http://other", 4, 0
	const s = time.Second
	cases := map[string]struct {
		said   []said
		listed vaneyoke.Upstream
		until  time.Duration // 0 for not at all
	}{
		"nothing":                                {nil, life, 0},
		"a pushback":                             {[]said{{0, life, 3 * s, false}}, life, 3 * s},
		"a fraction of a second":                 {[]said{{0, life, s / 4, false}}, life, s / 4},
		"the longest that is kept":               {[]said{{0, life, 60 * s, false}}, life, 60 * s},
		"one that is longer than anyone waits":   {[]said{{0, life, 61 * s, false}}, life, 5 * s},
		"one that no clock counts to":            {[]said{{0, life, math.MaxInt64, false}}, life, 5 * s},
		"one below nothing":                      {[]said{{0, life, -3 * s, false}}, life, 0},
		"a later one prolongs":                   {[]said{{0, life, 3 * s, false}, {s, life, 3 * s, false}}, life, 4 * s},
		"a shorter one does not shorten":         {[]said{{0, life, 3 * s, false}, {s, life, s, false}}, life, 3 * s},
		"a mistaken one does not shorten":        {[]said{{0, life, 30 * s, false}, {s, life, math.MaxInt64, false}}, life, 30 * s},
		"a word without one ends nothing":        {[]said{{0, life, 3 * s, false}, {s, life, 0, false}}, life, 3 * s},
		"it leaves":                              {[]said{{0, life, 0, true}}, life, 600 * s},
		"it leaves, and pushes back":             {[]said{{0, life, 0, true}, {s, life, 3 * s, false}}, life, 600 * s},
		"it pushes back, then leaves":            {[]said{{0, life, 3 * s, false}, {s, life, 0, true}}, life, 601 * s},
		"its next life is free":                  {[]said{{0, life, 3 * s, true}}, again, 0},
		"another engine is free":                 {[]said{{0, life, 3 * s, true}}, moved, 0},
		"an older list does not free it":         {[]said{{0, again, 3 * s, false}}, life, 3 * s},
		"its birth was not known":                {[]said{{0, unknown, 3 * s, false}}, life, 3 * s},
		"an earlier life's word comes late":      {[]said{{0, again, s, false}, {0, earlier, 3 * s, true}}, again, s},
		"only an earlier life's word comes late": {[]said{{0, earlier, 3 * s, true}}, life, 0},
		"both lives push back":                   {[]said{{0, life, 30 * s, false}, {s, again, 3 * s, false}}, again, 4 * s},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			b := pushback.NewBook()
			for _, signal := range tc.said {
				signal.note(b)
			}
			held := func(after time.Duration) bool { return b.Of("u").At(begin.Add(after), &tc.listed) }
			if tc.until == 0 {
				must.False(t, held(time.Second))
				return
			}
			must.True(t, held(tc.until-time.Millisecond))
			must.False(t, held(tc.until))
		})
	}
}

// TestQuestionsAreHeldByPushbacksAlone: what an upstream that leaves has begun is asked about until it ends.
func TestQuestionsAreHeldByPushbacksAlone(t *testing.T) {
	b := pushback.NewBook()
	said{0, life, 0, true}.note(b)
	must.True(t, b.Of("u").IsLeaving(begin, &life))
	must.False(t, b.Of("u").IsPushedBack(begin, &life))
	said{0, life, time.Second, false}.note(b)
	must.True(t, b.Of("u").IsPushedBack(begin, &life))
}

// TestBookIsBounded has more upstreams push back than are kept; those whose pushback ends last are.
func TestBookIsBounded(t *testing.T) {
	b := pushback.NewBook()
	const more = 1<<14 + 100
	for i := range more {
		u := vaneyoke.Upstream{ID: vaneyoke.UpstreamID(fmt.Sprint("u", i)), URL: "http://u"}
		said{0, u, time.Duration(i+1) * time.Millisecond, false}.note(b)
	}
	last := vaneyoke.UpstreamID(fmt.Sprint("u", more-1))
	u := vaneyoke.Upstream{ID: last, URL: "http://u"}
	must.True(t, b.Of(last).At(begin, &u))
	must.Nil(t, b.Of("u0"))
	said{time.Minute, life, time.Second, false}.note(b)
	must.Nil(t, b.Of(last)) // it was over
}
