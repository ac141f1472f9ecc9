package claim_test

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/claim"
	"github.com/vaneyoke/vaneyoke/internal/mutant"
)

// mutation breaks one rule of the claim by changing its events or effects.
type mutation struct {
	event  func(claim.Event) claim.Event
	effect func(claim.Effect) claim.Effect
}

// request is one of several requests with the same key, each handled by a node.
type request struct {
	id      vaneyoke.RequestID
	state   *claim.State
	effects []claim.Effect
	crashed bool
	ran     bool
	reply   *claim.Reply
}

// delayedWrite is a write that reaches the store after its sender has stopped waiting for it.
type delayedWrite struct {
	request *request
	write   claim.Write
}

// simulation is a store and the nodes that compete for one key.
type simulation struct {
	t            *rapid.T
	now          time.Time
	row          *claim.Versioned
	requests     []*request
	delayed      []delayedWrite
	toSettle     []claim.Record
	upstreamRuns int
	mutant       mutation
}

func (s *simulation) run() error {
	for range rapid.IntRange(5, 40).Draw(s.t, "steps") {
		s.now = s.now.Add(time.Second)
		if err := s.step(); err != nil {
			return err
		}
	}
	return nil
}

func (s *simulation) step() error {
	action := rapid.IntRange(0, 9).Draw(s.t, "action")
	switch {
	case action <= 1 || len(s.requests) == 0:
		id := vaneyoke.RequestID(fmt.Sprintf("r%d", len(s.requests)))
		r := &request{id: id, state: claim.New(claim.Record{Request: id, BodyDigest: "body"})}
		s.requests = append(s.requests, r)
		return s.deliver(r, claim.RequestReceived{})
	case action == 2 && len(s.delayed) > 0:
		d := s.delayed[0]
		s.delayed = s.delayed[1:]
		s.store(d.request.id, d.write)
		return nil
	case action == 3 && len(s.toSettle) > 0:
		s.revoke()
		return nil
	}
	r := s.requests[rapid.IntRange(0, len(s.requests)-1).Draw(s.t, "ask")]
	if action == 4 {
		r.crashed = true
	}
	if r.crashed || len(r.effects) == 0 {
		return nil
	}
	effect := r.effects[0]
	r.effects = r.effects[1:]
	if s.mutant.effect != nil {
		effect = s.mutant.effect(effect)
	}
	return s.execute(r, effect)
}

func (s *simulation) execute(r *request, effect claim.Effect) error {
	switch e := effect.(type) {
	case claim.Write:
		return s.deliver(r, s.send(r, e))
	case claim.Run:
		return s.runUpstream(r)
	case claim.Settle:
		s.toSettle = append(s.toSettle, e.Record)
	case claim.Reply:
		r.reply = &e
		return s.checkReply(r)
	}
	return nil
}

func (s *simulation) runUpstream(r *request) error {
	switch rapid.IntRange(0, 2).Draw(s.t, "upstream") {
	case 0:
		return s.deliver(r, claim.NotRun{Code: vaneyoke.CodeNoUpstream})
	case 1:
		s.upstreamRuns++
		r.ran = true
		if err := s.check(); err != nil {
			return err
		}
		return s.deliver(r, claim.MayHaveRun{})
	default:
		s.upstreamRuns++
		r.ran = true
		if err := s.check(); err != nil {
			return err
		}
		return s.deliver(r, claim.Answered{Answer: claim.Answer{Body: []byte(r.id)}})
	}
}

func (s *simulation) deliver(r *request, ev claim.Event) error {
	if s.mutant.event != nil {
		ev = s.mutant.event(ev)
	}
	r.effects = append(r.effects, r.state.Handle(s.now, ev)...)
	return nil
}

// send sends a write to the store, which may be down, lose the reply, or receive the write late.
func (s *simulation) send(r *request, write claim.Write) claim.Event {
	switch rapid.IntRange(0, 5).Draw(s.t, "store") {
	case 0:
		return claim.StoreFailed{}
	case 1:
		s.store(r.id, write)
		return claim.StoreFailed{Unknown: true}
	case 2:
		s.delayed = append(s.delayed, delayedWrite{request: r, write: write})
		return claim.StoreFailed{Unknown: true}
	}
	if s.store(r.id, write) {
		return claim.Stored{}
	}
	return claim.Conflict{Existing: *s.row}
}

func (s *simulation) store(_ vaneyoke.RequestID, write claim.Write) bool {
	version := claim.Version(0)
	if s.row != nil {
		version = s.row.Version
	}
	if version != write.Expect {
		return false
	}
	s.row = &claim.Versioned{Record: write.Record, Version: version + 1}
	return true
}

// revoke settles a claim whose write had an unknown outcome.
func (s *simulation) revoke() {
	record := s.toSettle[0]
	s.toSettle = s.toSettle[1:]
	if s.row != nil && (s.row.Request != record.Request || s.row.Stage != claim.StageClaimed) {
		return
	}
	record.Stage = claim.StageRevoked
	record.NotRun = vaneyoke.CodeStoreDown
	if s.row == nil {
		s.row = &claim.Versioned{Record: record, Version: 1}
		return
	}
	s.row = &claim.Versioned{Record: record, Version: s.row.Version + 1}
}

func (s *simulation) check() error {
	if s.upstreamRuns > 1 {
		return fmt.Errorf("the request ran %d times", s.upstreamRuns)
	}
	return nil
}

// checkReply compares the reply to a caller with what happened under its key.
func (s *simulation) checkReply(r *request) error {
	switch {
	case r.reply.Code == vaneyoke.CodeOK && s.upstreamRuns == 0:
		return errors.New("the reply is OK although the request never ran")
	case r.reply.Code == vaneyoke.CodeOK && r.reply.Answer == nil:
		return errors.New("the reply is OK but has no answer")
	case r.reply.Code.Info().NotRun && r.reply.Code != vaneyoke.CodeConflict && s.upstreamRuns > 0:
		return fmt.Errorf("the reply is %s although the request ran", r.reply.Code)
	}
	return nil
}

func TestAtMostOnceInAnyOrderOfEvents(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulation{t: t, now: time.Unix(1, 0)}
		if err := s.run(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMutationsAreDetected breaks one rule of the claim at a time, and checks that the simulation detects it.
func TestMutationsAreDetected(t *testing.T) {
	const sequences = 5000
	mutants := map[string]mutation{
		"a write of unknown outcome counts as stored": {event: func(ev claim.Event) claim.Event {
			if failed, ok := ev.(claim.StoreFailed); ok && failed.Unknown {
				return claim.Stored{}
			}
			return ev
		}},
		"a conflict counts as stored": {event: func(ev claim.Event) claim.Event {
			if _, ok := ev.(claim.Conflict); ok {
				return claim.Stored{}
			}
			return ev
		}},
		"a request that may have run counts as not run": {event: func(ev claim.Event) claim.Event {
			if _, ok := ev.(claim.MayHaveRun); ok {
				return claim.NotRun{Code: vaneyoke.CodeNoUpstream}
			}
			return ev
		}},
		"claims of other requests count as revoked": {event: func(ev claim.Event) claim.Event {
			if conflict, ok := ev.(claim.Conflict); ok {
				conflict.Existing.Stage = claim.StageRevoked
				conflict.Existing.NotRun = vaneyoke.CodeNoUpstream
				return conflict
			}
			return ev
		}},
		"an outage is reported as not run": {effect: func(ef claim.Effect) claim.Effect {
			if reply, ok := ef.(claim.Reply); ok && reply.Code == vaneyoke.CodeClaimUnknown {
				reply.Code = vaneyoke.CodeStoreDown
				return reply
			}
			return ef
		}},
	}
	for name, rule := range mutants {
		t.Run(name, func(t *testing.T) {
			must.True(t, mutant.Caught(sequences, func(t *rapid.T) bool {
				return (&simulation{t: t, now: time.Unix(1, 0), mutant: rule}).run() != nil
			}))
		})
	}
}
