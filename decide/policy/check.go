package policy

import (
	"fmt"
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	hoursOfWeek             = 7 * 24
	maxAvailabilityProblems = 5 // limit of the problems reported by checkAvailability
)

// Check returns the problems of policies in a fleet: unknown names in the changed one, and rules that have no available upstream at some time.
func Check(now time.Time, policies []*Policy, changed string, upstreams []vaneyoke.Upstream, workspaces []vaneyoke.WorkspaceID) []Problem {
	var problems []Problem
	for _, p := range policies {
		if p.Name == changed {
			problems = append(problems, p.checkNames(upstreams, workspaces)...)
		}
	}
	return append(problems, checkAvailability(now, policies, upstreams)...)
}

// checkNames reports workspaces and selectors that match nothing in the fleet.
func (p *Policy) checkNames(upstreams []vaneyoke.Upstream, workspaces []vaneyoke.WorkspaceID) []Problem {
	var problems []Problem
	checkWorkspaces := func(section string, list []string) {
		for _, w := range list {
			if !slices.Contains(workspaces, vaneyoke.WorkspaceID(w)) {
				problems = append(problems, Problem{Section: section, Key: "workspaces", Message: "no workspace " + w})
			}
		}
	}
	checkSelectors := func(section string, order []vaneyoke.Selector) {
		for _, s := range order {
			if !slices.ContainsFunc(upstreams, func(u vaneyoke.Upstream) bool { return s.Matches(&u) }) {
				problems = append(problems, Problem{Section: section, Key: "upstreams", Message: "no upstream matches " + string(s), Hint: "an id, an id that ends in *, data_centre:NAME or *"})
			}
		}
	}
	checkWorkspaces(sectionPolicy, p.workspaces)
	for _, r := range p.rules {
		checkWorkspaces(prefixRule+r.name, r.workspaces)
		checkSelectors(prefixRule+r.name, r.decision.Order)
	}
	for _, d := range p.drains {
		checkSelectors(prefixDrain+d.name, d.upstreams)
	}
	return problems
}

// checkAvailability simulates each hour of a week and reports rules none of whose upstreams would accept work.
func checkAvailability(now time.Time, policies []*Policy, upstreams []vaneyoke.Upstream) []Problem {
	set := NewSet(policies)
	start := now.Truncate(time.Hour)
	var problems []Problem
	seen := map[string]bool{}
	for hour := range hoursOfWeek {
		at := start.Add(time.Duration(hour) * time.Hour)
		available := availableUpstreams(upstreams, set.Drained(at))
		for _, p := range policies {
			for _, r := range p.rules {
				section := prefixRule + r.name
				if seen[section] || anyMatches(r.decision.Order, available) {
					continue
				}
				seen[section] = true
				problems = append(problems, Problem{
					Section: section, Key: "upstreams",
					Message: fmt.Sprintf("has no upstream that takes work at %s", at.In(p.zone).Format("Mon 15:04")),
					Hint:    "add an upstream to the rule, or change the drain",
				})
				if len(problems) == maxAvailabilityProblems {
					return problems
				}
			}
		}
	}
	return problems
}

func availableUpstreams(upstreams []vaneyoke.Upstream, drained []vaneyoke.Selector) []vaneyoke.Upstream {
	return slices.DeleteFunc(slices.Clone(upstreams), func(u vaneyoke.Upstream) bool {
		return u.State != vaneyoke.StateLive || (len(drained) > 0 && matchesAny(drained, &u))
	})
}

func anyMatches(order []vaneyoke.Selector, upstreams []vaneyoke.Upstream) bool {
	return slices.ContainsFunc(upstreams, func(u vaneyoke.Upstream) bool { return matchesAny(order, &u) })
}
