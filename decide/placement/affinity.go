package placement

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

const (
	homes       = 4                      // upstreams that a prompt may be sent to for its affinity
	spares      = 8                      // others that are asked for their reports where each home has prompts to read
	holders     = 2 * homes              // upstreams at which a prompt is looked for, because the first ones may have taken no work
	reportHolds = 400 * time.Millisecond // for which a report counts
	// roomShare is the share of an upstream's memory up to which it is given prompts: runs grow, and replicas take the rest. Of 75 engines on
	// which memory was short 0.85 served more in time than 0.75.
	roomShare = 0.85
)

// affine returns the one of a prompt's homes that works on the fewest runs, among those that have room, do not wait for a first
// token and turned nothing away of late; nil for none. The homes are the upstreams with the highest hash of prompt and id, the same on every node: a
// prompt that comes again, on whatever node, finds where it was read before. A prompt slows each run beside it, and whoever
// is slowed is under way for longer when something fails.
func affine(now time.Time, need Need, candidates []*entry) *entry {
	var chosen *entry
	for _, e := range byHash(need.Affinity, candidates, homes) {
		if e.waiting > 0 || e.reportedBusy(now) || e.declines.ofLate(now) || !e.hasRoom(now, need) {
			continue
		}
		if chosen == nil || e.runs(now) < chosen.runs(now) {
			chosen = e
		}
	}
	return chosen
}

// Homes returns the upstreams of which one is to get a prompt, so that they can be asked for their reports; not those that name a limit,
// which questions would use up.
func (s *State) Homes(now time.Time, need Need) []vaneyoke.Upstream {
	return lo.FilterMap(byHash(need.Affinity, s.mayGet(now, need), homes), func(e *entry, _ int) (vaneyoke.Upstream, bool) {
		return e.upstream, !e.limit.Declared
	})
}

// Spares returns upstreams at random that can be asked for their reports, because each of a prompt's homes has prompts to read
// or does not say; nil where one is free.
func (s *State) Spares(now time.Time, rng *rand.Rand, need Need) []vaneyoke.Upstream {
	candidates := s.mayGet(now, need)
	if affine(now, need, candidates) != nil {
		return nil
	}
	drawn := make([]vaneyoke.Upstream, 0, spares)
	seen := 0
	for _, e := range candidates { // each of those that qualify is drawn with the same chance, whatever their number
		if e.told(now) || e.limit.Declared {
			continue
		}
		seen++
		if len(drawn) < spares {
			drawn = append(drawn, e.upstream)
		} else if at := rng.IntN(seen); at < spares {
			drawn[at] = e.upstream
		}
	}
	return drawn
}

// leastTold returns, of the upstreams that told of their work, and of those that have room where there are any, the one with
// the least to read, then with the least in memory, then with the fewest runs; nil where none has told.
func leastTold(now time.Time, need Need, candidates []*entry) *entry {
	told := lo.Filter(candidates, func(e *entry, _ int) bool { return e.told(now) && !e.declines.ofLate(now) })
	if roomy := lo.Filter(told, func(e *entry, _ int) bool { return e.hasRoom(now, need) }); len(roomy) > 0 {
		told = roomy
	}
	return lo.MinBy(told, func(a, b *entry) bool {
		return cmp.Or(
			cmp.Compare(a.prompts(), b.prompts()), cmp.Compare(a.reported.KVInUse, b.reported.KVInUse), cmp.Compare(a.runs(now), b.runs(now)),
		) < 0
	})
}

// HasRoom reports whether an upstream that may get a prompt has room for it, as far as upstreams told of their memory; a prompt that goes
// to none of them displaces runs or replicas.
func (s *State) HasRoom(now time.Time, need Need) bool {
	anyTold := false
	for _, e := range s.mayGet(now, need) {
		if e.told(now) {
			if e.hasRoom(now, need) {
				return true
			}
			anyTold = true
		}
	}
	return !anyTold
}

// hasRoom reports whether the upstream's memory has room for a prompt beside those that it has still to read, which are taken to be as
// long, and for what runs grow by; true where it did not tell, and where it has nothing else to do.
func (e *entry) hasRoom(now time.Time, need Need) bool {
	if !e.told(now) || e.reported.KVSize == 0 || (e.reported.KVInUse == 0 && e.prompts() == 0) {
		return true
	}
	wanted := int(e.reported.KVInUse) + (e.prompts()+1)*need.Bytes
	return float64(wanted) <= roomShare*float64(e.reported.KVSize)
}

// prompts returns how many prompts the upstream has to read.
func (e *entry) prompts() int { return max(e.reported.PendingPrompts, e.waiting) }

// Holders returns the upstreams that may keep a prompt, because it is sent to them for its affinity.
func (s *State) Holders(now time.Time, need Need) []vaneyoke.Upstream {
	candidates := lo.Filter(s.order, func(e *entry, _ int) bool {
		return e.takesWork(now) && offers(&e.upstream, need) && s.suits(need, e, false) && !e.limit.Declared
	})
	return lo.Map(byHash(need.Affinity, candidates, holders), func(e *entry, _ int) vaneyoke.Upstream { return e.upstream })
}

// Reported notes what an upstream told of its work.
func (s *State) Reported(now time.Time, id vaneyoke.UpstreamID, report vaneyoke.LoadReport) {
	e, ok := s.entries[id]
	if !ok || (report.Incarnation != 0 && report.Incarnation < e.upstream.Incarnation) { // of an earlier life
		return
	}
	if report.Incarnation > e.upstream.Incarnation {
		if e.upstream.Incarnation != 0 {
			s.reborn(e)
		}
		e.upstream.Incarnation = report.Incarnation
	}
	e.reported, e.reportedAt = report, now
}

// told reports whether the upstream told of its work a short while ago.
func (e *entry) told(now time.Time) bool { return now.Sub(e.reportedAt) < reportHolds }

// runs returns how many runs the upstream works on; one that said nothing of late is taken for one that has some.
func (e *entry) runs(now time.Time) int {
	if e.told(now) {
		return max(e.reported.Runs, e.inFlight)
	}
	return max(e.inFlight, 1)
}

// reportedBusy reports whether the upstream said a short while ago that it has prompts to read.
func (e *entry) reportedBusy(now time.Time) bool {
	return e.reported.PendingPrompts > 0 && e.told(now)
}

// ranked is a candidate and its hash for a prompt.
type ranked struct {
	entry *entry
	hash  uint64
}

// byHash returns the most of the candidates with the highest hash of prompt and id, the highest first. It keeps no more than these, since there
// may be many thousands of candidates.
func byHash(prompt string, candidates []*entry, most int) []*entry {
	if most <= 0 {
		return nil
	}
	key := rendezvous.Of(prompt)
	top := make([]ranked, 0, most+1)
	for _, e := range candidates {
		hash := key.Score(string(e.upstream.ID))
		if len(top) == most && hash <= top[most-1].hash {
			continue
		}
		at := len(top)
		for at > 0 && top[at-1].hash < hash {
			at--
		}
		top = slices.Insert(top, at, ranked{entry: e, hash: hash})
		top = top[:min(len(top), most)]
	}
	return lo.Map(top, func(r ranked, _ int) *entry { return r.entry })
}
