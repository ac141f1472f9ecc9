package vaneyoke

import (
	"encoding/json"
	"maps"
)

// Fields is a JSON object whose members keep their original encoding.
type Fields map[string]json.RawMessage

// Clone returns a shallow copy of f.
func (f Fields) Clone() Fields { return maps.Clone(f) }

// Set stores the JSON encoding of v; it panics if v cannot be encoded.
func (f Fields) Set(name string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic("vaneyoke: field " + name + " does not encode: " + err.Error())
	}
	f[name] = raw
}
