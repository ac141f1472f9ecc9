package policy

import (
	"errors"
	"fmt"
	"time"

	"github.com/expr-lang/expr"
	"github.com/expr-lang/expr/ast"
	"github.com/expr-lang/expr/file"
	"github.com/expr-lang/expr/vm"

	"github.com/vaneyoke/vaneyoke"
)

// Limits on the size of a program, which bound the cost of its evaluation.
const (
	maxRules     = 200
	maxNodes     = 200 // syntax nodes of one condition
	maxTextBytes = 64 << 10
)

// Policy is a compiled program.
type Policy struct {
	Name           string
	zone           *time.Location
	workspaces     []string
	rules          []compiledRule
	drains         []compiledDrain
	usesPromptSize bool // whether any rule depends on the prompt's size
}

// Workspaces returns the workspaces to which the policy applies, nil for all.
func (p *Policy) Workspaces() []string { return p.workspaces }

type compiledRule struct {
	rule
	program *vm.Program // nil if the rule always matches
}

type compiledDrain struct {
	drain
	program *vm.Program
}

// Compile parses and compiles a program; it returns either the policy or the program's problems.
func Compile(text []byte) (*Policy, []Problem) {
	p := &parser{}
	if len(text) > maxTextBytes {
		p.addProblem(sectionPolicy, "", fmt.Sprintf("is longer than %d bytes", maxTextBytes), "part it in several policies")
		return nil, p.problems
	}
	d := p.parse(text)
	policy := &Policy{Name: d.name, zone: d.zone, workspaces: d.workspaces}
	if len(d.rules)+len(d.drains) > maxRules {
		p.addProblem(sectionPolicy, "", fmt.Sprintf("has more than %d rules", maxRules), "part it in several policies")
	}
	for _, r := range d.rules {
		program, usesSize := p.compileCondition(prefixRule+r.name, r.when)
		policy.usesPromptSize = policy.usesPromptSize || usesSize
		policy.rules = append(policy.rules, compiledRule{rule: r, program: program})
	}
	for _, dr := range d.drains {
		program, _ := p.compileCondition(prefixDrain+dr.name, dr.when)
		policy.drains = append(policy.drains, compiledDrain{drain: dr, program: program})
	}
	p.checkUnreachable(policy)
	if len(p.problems) > 0 {
		return nil, p.problems
	}
	return policy, nil
}

// compileCondition compiles the condition of a rule and reports whether it depends on the prompt's size.
func (p *parser) compileCondition(section, when string) (*vm.Program, bool) {
	v := &visitor{}
	program, err := expr.Compile(when,
		expr.Env(Env{}), expr.AsBool(), expr.DisableAllBuiltins(), expr.EnableBuiltin("lower"), expr.Patch(v),
	)
	if err != nil {
		p.problems = append(p.problems, conditionProblem(section, err))
		return nil, false
	}
	if v.nodes > maxNodes {
		p.addProblem(section, "when", fmt.Sprintf("has more than %d parts", maxNodes), "part it in several rules")
	}
	switch constant, ok := program.Node().(*ast.BoolNode); {
	case ok && !constant.Value:
		p.addProblem(section, "when", "is never true", "remove the rule")
	case ok:
		return nil, false
	}
	return program, v.usesPromptSize
}

// visitor counts the syntax nodes of a condition and detects uses of prompt_bytes.
type visitor struct {
	nodes          int
	usesPromptSize bool
}

// Visit implements ast.Visitor.
func (v *visitor) Visit(node *ast.Node) {
	v.nodes++
	if name, ok := (*node).(*ast.IdentifierNode); ok && name.Value == "prompt_bytes" {
		v.usesPromptSize = true
	}
}

func conditionProblem(section string, err error) Problem {
	problem := Problem{Section: section, Key: "when", Message: err.Error()}
	if fileErr, ok := errors.AsType[*file.Error](err); ok {
		problem.Message = fileErr.Message
		problem.Line = fileErr.Line
		problem.Column = fileErr.Column + 1
		problem.Hint = "names are workspace, kind, model, service, prompt_bytes, data_centre, clock, hour, weekday, weekend"
	}
	return problem
}

// checkUnreachable reports the rules after one that always matches for every workspace of the policy.
func (p *parser) checkUnreachable(policy *Policy) {
	for i, r := range policy.rules {
		if r.program != nil || len(r.workspaces) > 0 || r.when != "true" {
			continue
		}
		for _, later := range policy.rules[i+1:] {
			p.addProblem(prefixRule+later.name, "when", "can never match after [rule."+r.name+"], which always does", "move it up")
		}
		return
	}
}

// appliesTo reports whether a list of workspaces includes the given one; an empty list includes all.
func appliesTo(list []string, workspace string) bool {
	if len(list) == 0 {
		return true
	}
	for _, w := range list {
		if w == workspace {
			return true
		}
	}
	return false
}

// matchesAny reports whether any of the selectors matches u; an empty list matches all upstreams.
func matchesAny(order []vaneyoke.Selector, u *vaneyoke.Upstream) bool {
	if len(order) == 0 {
		return true
	}
	for _, s := range order {
		if s.Matches(u) {
			return true
		}
	}
	return false
}
