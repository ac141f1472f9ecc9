package generation_test

import (
	"testing"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/internal/mutant"
)

func TestInvariantsHoldInAnyEventOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		if err := newModel(t, mutation{}).run(); err != nil {
			t.Fatal(err)
		}
	})
}

// TestMutantsAreDetected breaks one rule of the state machine at a time; the invariant checks must detect each.
func TestMutantsAreDetected(t *testing.T) {
	const maxRuns = 4000
	mutants := map[string]mutation{
		"attempt is not checked":      {event: relabelAttempt},
		"index is not checked":        {event: relabelIndex},
		"prefix lacks a token":        {effect: truncatePrefix},
		"prefix is left out":          {effect: dropPrefix},
		"resumes one token early":     {effect: resumeEarly},
		"resumes one token late":      {effect: resumeLate},
		"losses reported as not sent": {event: reportNotSent},
		"buffered text is accepted":   {event: forceText},
	}
	for name, change := range mutants {
		t.Run(name, func(t *testing.T) {
			must.True(t, mutant.Caught(maxRuns, func(t *rapid.T) bool { return newModel(t, change).run() != nil }))
		})
	}
}

// liveConnection returns the newest open connection.
func (m *model) liveConnection() *connection {
	for i := len(m.conns) - 1; i >= 0; i-- {
		if !m.conns[i].closed {
			return m.conns[i]
		}
	}
	return nil
}

func relabelAttempt(m *model, ev generation.Event) generation.Event {
	received, ok := ev.(*generation.Received)
	live := m.liveConnection()
	if !ok || live == nil {
		return ev
	}
	changed := *received
	changed.Attempt = live.attempt
	return &changed
}

func relabelIndex(m *model, ev generation.Event) generation.Event {
	received, ok := ev.(*generation.Received)
	if !ok {
		return ev
	}
	changed := *received
	changed.Batch.First = m.state.Transcript().Len()
	return &changed
}

func truncatePrefix(_ *model, ef generation.Effect) generation.Effect {
	start, ok := ef.(generation.Start)
	if ok && len(start.Prefix) > 0 {
		start.Prefix = start.Prefix[:len(start.Prefix)-1]
	}
	if ok {
		return start
	}
	return ef
}

func dropPrefix(_ *model, ef generation.Effect) generation.Effect {
	if start, ok := ef.(generation.Start); ok {
		start.Prefix = nil
		return start
	}
	return ef
}

func resumeEarly(m *model, ef generation.Effect) generation.Effect { return resumeAt(m, ef, -1) }

func resumeLate(m *model, ef generation.Effect) generation.Effect { return resumeAt(m, ef, 1) }

// resumeAt makes the engine resume at a wrong index without indicating it.
func resumeAt(m *model, ef generation.Effect, offset int) generation.Effect {
	resume, ok := ef.(generation.Resume)
	if !ok {
		return ef
	}
	old := m.streams[resume.Stream]
	from := int(resume.From-old.base) + offset
	if from < 0 || from > len(old.tokens) {
		return ef
	}
	moved := *old
	moved.tokens = append(append(moved.tokens[:0:0], old.tokens[:from-offset]...), old.tokens[from:]...)
	m.streams[resume.Stream] = &moved
	return ef
}

func reportNotSent(_ *model, ev generation.Event) generation.Event {
	if lost, ok := ev.(generation.Lost); ok {
		lost.Cause = generation.CauseNotSent
		return lost
	}
	return ev
}

// forceText adds text to a batch without any, so that the batch is not kept pending for an incomplete character.
func forceText(_ *model, ev generation.Event) generation.Event {
	received, ok := ev.(*generation.Received)
	if !ok || len(received.Batch.Text) > 0 {
		return ev
	}
	changed := *received
	changed.Batch.Text = []byte{0xC3}
	return &changed
}
