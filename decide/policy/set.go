package policy

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/vm"

	"github.com/vaneyoke/vaneyoke"
)

// maxCacheEntries bounds the number of decisions that a set caches within a minute.
const maxCacheEntries = 50_000

// Set holds all active policies, indexed by workspace. It is safe for concurrent use.
type Set struct {
	policies     []*Policy // sorted by name
	mu           sync.Mutex
	byWorkspace  map[string][]policyRule // rules of each workspace that a policy or rule mentions
	defaultRules []policyRule            // rules of all other workspaces
	cache        map[cacheKey]Decision
	cacheMinute  int64 // Unix minute in which the cached decisions were made
	failures     int
}

// policyRule is a rule and its policy.
type policyRule struct {
	policy *Policy
	rule   *compiledRule
}

// cacheKey holds the properties, except the prompt's size, that a decision depends on within a minute.
type cacheKey struct {
	workspace, kind, model, service, dataCentre string
}

// NewSet returns the set of the given policies. Policies for particular workspaces take precedence over policies for all; within each group the
// order is by name.
func NewSet(policies []*Policy) *Set {
	s := &Set{policies: slices.Clone(policies), byWorkspace: map[string][]policyRule{}, cache: map[cacheKey]Decision{}}
	slices.SortFunc(s.policies, func(a, b *Policy) int { return strings.Compare(a.Name, b.Name) })
	for _, workspace := range s.namedWorkspaces() {
		s.byWorkspace[workspace] = s.rulesFor(workspace)
	}
	s.defaultRules = s.rulesFor("")
	return s
}

// namedWorkspaces returns the workspaces that policies or rules mention.
func (s *Set) namedWorkspaces() []string {
	var names []string
	for _, p := range s.policies {
		names = append(names, p.workspaces...)
		for _, r := range p.rules {
			names = append(names, r.workspaces...)
		}
	}
	slices.Sort(names)
	return slices.Compact(names)
}

// rulesFor returns the rules that apply to a workspace, where "" stands for any workspace that is mentioned nowhere.
func (s *Set) rulesFor(workspace string) []policyRule {
	var own, general []policyRule
	for _, p := range s.policies {
		for i := range p.rules {
			r := &p.rules[i]
			if !appliesTo(p.workspaces, workspace) || !appliesTo(r.workspaces, workspace) {
				continue
			}
			if len(p.workspaces) > 0 {
				own = append(own, policyRule{policy: p, rule: r})
			} else {
				general = append(general, policyRule{policy: p, rule: r})
			}
		}
	}
	return append(own, general...)
}

// Decide returns the decision of the first rule that matches a request at the given time.
func (s *Set) Decide(now time.Time, q Query) Decision {
	s.mu.Lock()
	defer s.mu.Unlock()
	rules, ok := s.byWorkspace[q.Workspace]
	if !ok {
		rules = s.defaultRules
	}
	if len(rules) == 0 {
		return Decision{}
	}
	key := cacheKey{q.Workspace, q.Kind, q.Model, q.Service, q.DataCentre}
	s.expireCache(now)
	if d, ok := s.cache[key]; ok {
		return d
	}
	d, cacheable := s.evaluate(now, q, rules)
	if cacheable && len(s.cache) < maxCacheEntries {
		s.cache[key] = d
	}
	return d
}

// expireCache clears the cached decisions when the minute changes, because rules may depend on the time.
func (s *Set) expireCache(now time.Time) {
	if minute := now.Unix() / 60; minute != s.cacheMinute {
		s.cacheMinute = minute
		clear(s.cache)
	}
}

// evaluate evaluates rules until one matches, and reports whether the decision is independent of the prompt's size and may thus be cached.
func (s *Set) evaluate(now time.Time, q Query, rules []policyRule) (Decision, bool) {
	env := q.env()
	var zone *time.Location
	cacheable := true
	for _, r := range rules {
		if r.policy.zone != zone {
			zone = r.policy.zone
			env.setTime(now.In(zone))
		}
		cacheable = cacheable && !r.policy.usesPromptSize
		matched, err := matches(r.rule.program, env)
		if err != nil {
			s.failures++
			continue
		}
		if matched {
			return r.decision(), cacheable
		}
	}
	return Decision{}, cacheable
}

func (r policyRule) decision() Decision {
	d := r.rule.decision
	d.Rule = r.policy.Name + "/" + r.rule.name
	return d
}

func matches(program *vm.Program, env Env) (bool, error) {
	if program == nil {
		return true, nil
	}
	out, err := expr.Run(program, env)
	if err != nil {
		return false, err
	}
	matched, _ := out.(bool)
	return matched, nil
}

// Failures returns the number of failed evaluations; a rule whose evaluation fails does not match.
func (s *Set) Failures() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.failures
}

// Drained returns the selectors of the upstreams that are drained at the given time.
func (s *Set) Drained(now time.Time) []vaneyoke.Selector {
	var drained []vaneyoke.Selector
	for _, p := range s.policies {
		var env Env
		env.setTime(now.In(p.zone))
		for _, d := range p.drains {
			if matched, err := matches(d.program, env); err == nil && matched {
				drained = append(drained, d.upstreams...)
			}
		}
	}
	return drained
}

// Step is the evaluation of one rule during a decision.
type Step struct {
	Rule    string `json:"rule"`
	When    string `json:"when"`
	Matched bool   `json:"matched"`
	Error   string `json:"error,omitempty"`
}

// Explain returns the decision for a request at the given time and the rules that were evaluated.
func (s *Set) Explain(now time.Time, q Query) (Decision, []Step) {
	s.mu.Lock()
	rules, ok := s.byWorkspace[q.Workspace]
	if !ok {
		rules = s.defaultRules
	}
	s.mu.Unlock()
	var steps []Step
	env := q.env()
	for _, r := range rules {
		env.setTime(now.In(r.policy.zone))
		matched, err := matches(r.rule.program, env)
		step := Step{Rule: r.policy.Name + "/" + r.rule.name, When: r.rule.when, Matched: matched}
		if err != nil {
			step.Error = err.Error()
		}
		steps = append(steps, step)
		if matched {
			return r.decision(), steps
		}
	}
	return Decision{}, steps
}
