package vaneyoke

import (
	"encoding/json"
	"maps"
)

// Fields is a JSON object whose members keep the exact form in which they came.
type Fields map[string]json.RawMessage

// Clone returns a copy that can be changed without changing f.
func (f Fields) Clone() Fields { return maps.Clone(f) }

// Set stores the JSON form of v, which must be a type that always encodes.
func (f Fields) Set(name string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("vaneyoke: field " + name + " does not encode: " + err.Error())
	}
	f[name] = raw
}
