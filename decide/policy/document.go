package policy

import (
	"fmt"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/samber/lo"
	"gopkg.in/ini.v1"

	"github.com/vaneyoke/vaneyoke"
)

// Section names and prefixes of a program.
const (
	sectionPolicy = "policy"
	prefixRule    = "rule."
	prefixDrain   = "drain."
)

// Problem is one error in a program.
type Problem struct {
	Section string `json:"section"`
	Key     string `json:"key,omitempty"`
	Line    int    `json:"line,omitempty"`   // within the value, from 1
	Column  int    `json:"column,omitempty"` // within the line, from 1
	Message string `json:"message"`
	Hint    string `json:"hint,omitempty"`
}

// String formats the problem as one line.
func (p Problem) String() string {
	at := "[" + p.Section + "]"
	if p.Key != "" {
		at += " " + p.Key
	}
	if p.Line > 0 {
		at += fmt.Sprintf(" %d:%d", p.Line, p.Column)
	}
	text := at + ": " + p.Message
	if p.Hint != "" {
		text += " (" + p.Hint + ")"
	}
	return text
}

// document is the parsed source of a program.
type document struct {
	name       string
	zone       *time.Location
	workspaces []string // nil for all
	rules      []rule
	drains     []drain
}

// rule is the parsed source of a rule.
type rule struct {
	name       string
	when       string
	workspaces []string // nil for all workspaces of the policy
	decision   Decision
}

// drain is the parsed source of a drain.
type drain struct {
	name      string
	when      string
	upstreams []vaneyoke.Selector
}

// parser parses a program and collects its problems.
type parser struct {
	problems []Problem
}

func (p *parser) addProblem(section, key, message, hint string) {
	p.problems = append(p.problems, Problem{Section: section, Key: key, Message: message, Hint: hint})
}

// parse parses the text of a program.
func (p *parser) parse(text []byte) document {
	file, err := ini.LoadSources(ini.LoadOptions{IgnoreInlineComment: true}, text)
	if err != nil {
		p.addProblem(sectionPolicy, "", "is no INI text: "+err.Error(), "")
		return document{}
	}
	d := document{zone: time.UTC}
	for _, section := range file.Sections() {
		name := section.Name()
		switch {
		case name == ini.DefaultSection && len(section.Keys()) == 0:
		case name == sectionPolicy:
			p.parseHeader(&d, section)
		case strings.HasPrefix(name, prefixRule):
			d.rules = append(d.rules, p.parseRule(section))
		case strings.HasPrefix(name, prefixDrain):
			d.drains = append(d.drains, p.parseDrain(section))
		default:
			p.addProblem(name, "", "is an unknown section", "sections are [policy], [rule.NAME] and [drain.NAME]")
		}
	}
	if d.name == "" {
		p.addProblem(sectionPolicy, "name", "is missing", "")
	}
	return d
}

func (p *parser) parseHeader(d *document, section *ini.Section) {
	p.checkKeys(section, "name", "zone", "workspaces")
	d.name = section.Key("name").String()
	d.workspaces = splitList(section.Key("workspaces").String())
	zone := section.Key("zone").MustString("UTC")
	location, err := time.LoadLocation(zone)
	if err != nil {
		p.addProblem(sectionPolicy, "zone", "is no time zone: "+zone, "write it as in Europe/London")
		return
	}
	d.zone = location
}

// checkKeys reports keys that are not allowed in a section.
func (p *parser) checkKeys(section *ini.Section, keys ...string) {
	for _, key := range section.KeyStrings() {
		if !slices.Contains(keys, key) {
			p.addProblem(section.Name(), key, "is an unknown key", "known are "+strings.Join(keys, ", "))
		}
	}
}

func (p *parser) parseRule(section *ini.Section) rule {
	p.checkKeys(section, "when", "workspaces", "upstreams", "wait", "priority", "recovery")
	r := rule{
		name:       strings.TrimPrefix(section.Name(), prefixRule),
		when:       section.Key("when").MustString("true"),
		workspaces: splitList(section.Key("workspaces").String()),
	}
	r.decision.Order = splitSelectors(section.Key("upstreams").String())
	if text := section.Key("wait").String(); text != "" {
		wait, err := time.ParseDuration(text)
		if err != nil || wait <= 0 {
			p.addProblem(section.Name(), "wait", "must be a duration over 0, got "+text, "write it as in 2s")
		}
		r.decision.MaxWait = wait
	}
	if text := section.Key("priority").String(); text != "" {
		priority, err := strconv.Atoi(text)
		if err != nil {
			p.addProblem(section.Name(), "priority", "must be a whole number, got "+text, "lower goes first")
		}
		r.decision.Priority = priority
	}
	r.decision.Recovery = p.parseRecovery(section)
	return r
}

func (p *parser) parseRecovery(section *ini.Section) vaneyoke.Recovery {
	switch r := vaneyoke.Recovery(section.Key("recovery").String()); r {
	case "", vaneyoke.RecoverFast, vaneyoke.RecoverFrugal:
		return r
	default:
		p.addProblem(section.Name(), "recovery", "must be fast or frugal, got "+string(r), "")
		return ""
	}
}

func (p *parser) parseDrain(section *ini.Section) drain {
	p.checkKeys(section, "when", "upstreams")
	d := drain{
		name:      strings.TrimPrefix(section.Name(), prefixDrain),
		when:      section.Key("when").MustString("true"),
		upstreams: splitSelectors(section.Key("upstreams").String()),
	}
	if len(d.upstreams) == 0 {
		p.addProblem(section.Name(), "upstreams", "is missing", "name the upstreams to drain")
	}
	return d
}

// splitList splits a value at commas; a value that is empty or * alone gives nil.
func splitList(text string) []string {
	parts := lo.Map(strings.Split(text, ","), func(s string, _ int) string { return strings.TrimSpace(s) })
	parts = lo.Compact(parts)
	if len(parts) == 1 && parts[0] == vaneyoke.SelectAll {
		return nil
	}
	return lo.Ternary(len(parts) == 0, nil, parts)
}

func splitSelectors(text string) []vaneyoke.Selector {
	parts := lo.Compact(lo.Map(strings.Split(text, ","), func(s string, _ int) string { return strings.TrimSpace(s) }))
	return lo.Map(parts, func(s string, _ int) vaneyoke.Selector { return vaneyoke.Selector(s) })
}
