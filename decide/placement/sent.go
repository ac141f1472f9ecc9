package placement

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	// reportAge is how old a load report may be when it arrives; it may lack what was sent in this time before.
	reportAge = 150 * time.Millisecond
	sentTTL   = 30 * time.Second // for which an attempt is remembered until its first token
	maxSent   = 64               // attempts and replicas remembered for one upstream
	// maxSentSkew is the longest time between the choice of an upstream and the time at which the attempt is taken to have been sent.
	maxSentSkew = 100 * time.Millisecond
)

// sentWork is an attempt or a replica that this node has given to an upstream.
type sentWork struct {
	at     time.Time
	prompt vaneyoke.Tokens // to prefill; 0 for a replica
	memory vaneyoke.Tokens // that it will take, the answer included
	ahead  vaneyoke.Tokens // prompt tokens that were to be prefilled before it; -1 if unknown
}

// Reserve records the memory that an attempt sent to an upstream will take there, which the upstream's load reports do not show yet.
func (s *State) Reserve(now time.Time, id vaneyoke.UpstreamID, need Need) {
	e, ok := s.entries[id]
	if !ok {
		return
	}
	ahead := vaneyoke.Tokens(-1)
	if e.hasFreshReport(now) {
		ahead = e.queuedTokens(now, need)
	}
	e.addSent(now, sentWork{at: now, prompt: vaneyoke.Tokens(need.PromptBytes), memory: need.memory(), ahead: ahead})
}

func (e *entry) addSent(now time.Time, work sentWork) {
	e.sent = slices.DeleteFunc(e.sent, func(w sentWork) bool { return now.Sub(w.at) > sentTTL })
	if len(e.sent) >= maxSent {
		e.sent = slices.Delete(e.sent, 0, 1)
	}
	e.sent = append(e.sent, work)
}

// takeSent removes and returns the attempt that was sent at about the given time.
func (e *entry) takeSent(sentAt time.Time) (work sentWork, ok bool) {
	i := slices.IndexFunc(e.sent, func(w sentWork) bool { return w.prompt > 0 && sentAt.Sub(w.at).Abs() <= maxSentSkew })
	if i < 0 {
		return sentWork{}, false
	}
	work = e.sent[i]
	e.sent = slices.Delete(e.sent, i, i+1)
	return work, true
}

// unreported returns the prompt tokens and the memory of this node's work that the latest load report may lack.
func (e *entry) unreported() (prompt, memory vaneyoke.Tokens) {
	for _, w := range e.sent {
		if w.at.After(e.reportedAt.Add(-reportAge)) {
			prompt += w.prompt
			memory += w.memory
		}
	}
	return prompt, memory
}

// memory returns the tokens that a run takes in memory at its end.
func (n *Need) memory() vaneyoke.Tokens { return vaneyoke.Tokens(n.PromptBytes) + n.AnswerTokens }
