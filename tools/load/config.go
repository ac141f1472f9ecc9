package load

import (
	"fmt"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"github.com/vaneyoke/vaneyoke"
)

// Kind is one kind of request in the mix.
type Kind struct {
	Name        string  `ini:"name"`
	Share       float64 `ini:"share"`  // weight relative to the other kinds
	MeanTokens  int     `ini:"tokens"` // mean length of the answer; 0 for a call of the plain service
	PromptWords int     `ini:"words"`  // length of the prompt in words
}

// Fault is a fault that is injected or ended at a given time.
type Fault struct {
	At     time.Duration
	Target string // name of an engine, a service or a node, or "platform"
	Fault  string
	Factor float64 // for the fault slow
}

// Config describes a load and the faults during it.
type Config struct {
	Rate     float64       `ini:"rate"`     // mean requests per second; arrivals do not wait for answers
	Duration time.Duration `ini:"duration"` // how long requests are sent
	MaxOpen  int           `ini:"open"`     // maximum number of open requests; arrivals beyond it are counted and not sent
	Timeout  time.Duration `ini:"timeout"`  // of one request, including reconnections
	Seed     uint64        `ini:"seed"`
	Kinds    []Kind        `ini:"-"`
	Faults   []Fault       `ini:"-"`
}

// DefaultConfig returns a small mix of long generations, short generations and service calls.
func DefaultConfig() Config {
	return Config{
		Rate: 20, Duration: 10 * time.Second, MaxOpen: 2000, Timeout: time.Minute, Seed: 1,
		Kinds: []Kind{
			{Name: "description", Share: 5, MeanTokens: 150, PromptWords: 120},
			{Name: "lookup", Share: 4, MeanTokens: 15, PromptWords: 20},
			{Name: "reserve", Share: 1},
		},
	}
}

// validate returns an error with CodeUsage if the load cannot be run.
func (c *Config) validate() error {
	total := 0.0
	for _, k := range c.Kinds {
		if k.Share < 0 || k.MeanTokens < 0 || k.PromptWords < 0 {
			return vaneyoke.Err(vaneyoke.CodeUsage, "kind %s: share, tokens and words must not be negative", k.Name)
		}
		total += k.Share
	}
	if c.Rate <= 0 || c.Duration <= 0 || c.MaxOpen <= 0 || total <= 0 {
		return vaneyoke.Err(vaneyoke.CodeUsage, "rate, duration, open and the sum of shares must be positive")
	}
	return nil
}

// ReadFile reads a load from an INI file: a section [load], sections [kind.NAME], and a section [faults] with keys TIME and values TARGET,FAULT[,FACTOR].
func ReadFile(path string, config Config) (Config, error) {
	file, err := ini.Load(path)
	if err != nil {
		return config, vaneyoke.WrapErr(vaneyoke.CodeSettingsFile, err, "%s", path)
	}
	if err := file.Section("load").StrictMapTo(&config); err != nil {
		return config, vaneyoke.WrapErr(vaneyoke.CodeSettingsValue, err, "%s: [load]", path)
	}
	kinds := file.Section("kind").ChildSections()
	if len(kinds) > 0 {
		config.Kinds = nil
	}
	for _, section := range kinds {
		kind := Kind{Name: strings.TrimPrefix(section.Name(), "kind.")}
		if err := section.StrictMapTo(&kind); err != nil {
			return config, vaneyoke.WrapErr(vaneyoke.CodeSettingsValue, err, "%s: [%s]", path, section.Name())
		}
		config.Kinds = append(config.Kinds, kind)
	}
	for _, key := range file.Section("faults").Keys() {
		fault, err := ParseFault(key.Name() + "," + key.String())
		if err != nil {
			return config, err
		}
		config.Faults = append(config.Faults, fault)
	}
	return config, nil
}

// ParseFault parses TIME,TARGET,FAULT[,FACTOR].
func ParseFault(text string) (Fault, error) {
	parts := strings.Split(text, ",")
	if len(parts) < 3 || len(parts) > 4 {
		return Fault{}, vaneyoke.Err(vaneyoke.CodeUsage, "fault %q must be TIME,TARGET,FAULT[,FACTOR]", text)
	}
	at, err := time.ParseDuration(strings.TrimSpace(parts[0]))
	if err != nil {
		return Fault{}, vaneyoke.Err(vaneyoke.CodeUsage, "fault %q: %s is no duration", text, parts[0])
	}
	fault := Fault{At: at, Target: strings.TrimSpace(parts[1]), Fault: strings.TrimSpace(parts[2])}
	if len(parts) == 4 {
		if fault.Factor, err = strconv.ParseFloat(strings.TrimSpace(parts[3]), 64); err != nil {
			return Fault{}, vaneyoke.Err(vaneyoke.CodeUsage, "fault %q: %s is no number", text, parts[3])
		}
	}
	return fault, nil
}

// String returns the fault in the format of ParseFault, without the factor.
func (f Fault) String() string { return fmt.Sprintf("%s,%s,%s", f.At, f.Target, f.Fault) }
