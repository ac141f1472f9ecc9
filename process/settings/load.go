package settings

import (
	"reflect"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/vaneyoke/vaneyoke"
)

// Load reads and validates a file; an error names the file, the key and the reason.
func Load(path string) (Settings, error) {
	file, err := ini.LoadSources(ini.LoadOptions{}, path)
	if err != nil {
		return Settings{}, vaneyoke.WrapErr(vaneyoke.CodeSettingsFile, err, "%s", path)
	}
	return read(file, path)
}

// Parse reads and validates the text of a file; errors give name as its path.
func Parse(text []byte, name string) (Settings, error) {
	file, err := ini.Load(text)
	if err != nil {
		return Settings{}, vaneyoke.WrapErr(vaneyoke.CodeSettingsFile, err, "%s", name)
	}
	return read(file, name)
}

func read(file *ini.File, name string) (Settings, error) {
	var s Settings
	if err := checkUnknownKeys(file, name); err != nil {
		return Settings{}, err
	}
	root := reflect.ValueOf(&s).Elem()
	for i := range root.NumField() {
		tag := root.Type().Field(i).Tag
		section := tag.Get("ini")
		if tag.Get("only") != "" && s.Gateway.ServesOpaque() && !file.HasSection(section) {
			continue
		}
		if err := readSection(file.Section(section), root.Field(i), name); err != nil {
			return Settings{}, err
		}
	}
	if err := s.Limits.check(name); err != nil {
		return s, err
	}
	return s, s.checkRequired(name)
}

// check checks the bounds against one another.
func (l Limits) check(name string) error {
	if l.Memory > 0 && float64(l.BufferBytes) > l.Memory*megabyte*bufferShare {
		return vaneyoke.Err(vaneyoke.CodeSettingsValue, "%s: [limits] buffer_bytes: must be at most half of memory (%g MB), got %d", name, l.Memory, l.BufferBytes)
	}
	if bound := l.MaxBufferBytes(); bound > 0 && l.BodyBytes > bound {
		return vaneyoke.Err(vaneyoke.CodeSettingsValue, "%s: [limits] body_bytes: must be at most the %d bytes that are held for callers, got %d", name, bound, l.BodyBytes)
	}
	return nil
}

// checkRequired checks that a node for opaque requests has all the addresses that it needs.
func (s *Settings) checkRequired(name string) error {
	g := s.Gateway
	for key, address := range map[string]string{"readiness": g.Readiness, "store": g.Store} {
		if g.ServesOpaque() && address == "" {
			return vaneyoke.Err(vaneyoke.CodeSettingsKey, "%s: [gateway] %s: is missing", name, key)
		}
	}
	return nil
}

func readSection(section *ini.Section, fields reflect.Value, name string) error {
	for i := range fields.NumField() {
		field := fields.Type().Field(i)
		key := field.Tag.Get("ini")
		text := field.Tag.Get("default")
		if section.HasKey(key) {
			text = section.Key(key).String()
		}
		if err := setField(fields.Field(i), field.Tag, text); err != nil {
			return vaneyoke.Err(errorCode(text), "%s: [%s] %s: %s", name, section.Name(), key, err)
		}
	}
	return nil
}

func errorCode(text string) vaneyoke.Code {
	if text == "" {
		return vaneyoke.CodeSettingsKey
	}
	return vaneyoke.CodeSettingsValue
}

// checkUnknownKeys returns an error for a section or key that does not exist.
func checkUnknownKeys(file *ini.File, name string) error {
	known := keysBySection()
	for _, section := range file.Sections() {
		keys, ok := known[section.Name()]
		if !ok && (section.Name() != ini.DefaultSection || len(section.Keys()) > 0) {
			return vaneyoke.Err(vaneyoke.CodeSettingsKey, "%s: [%s]: unknown section", name, section.Name())
		}
		for _, key := range section.KeyStrings() {
			if !strings.Contains(keys, " "+key+" ") {
				return vaneyoke.Err(vaneyoke.CodeSettingsKey, "%s: [%s] %s: unknown key; known are%s", name, section.Name(), key, strings.TrimRight(keys, " "))
			}
		}
	}
	return nil
}

// keysBySection returns each section's keys, separated and surrounded by spaces.
func keysBySection() map[string]string {
	known := map[string]string{}
	root := reflect.TypeFor[Settings]()
	for section := range root.Fields() {
		keys := " "
		for field := range section.Type.Fields() {
			keys += field.Tag.Get("ini") + " "
		}
		known[section.Tag.Get("ini")] = keys
	}
	return known
}
