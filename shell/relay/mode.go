package relay

import (
	"encoding/json"

	"github.com/vaneyoke/vaneyoke"
)

// mode is how a session's answer arrives from its upstreams.
type mode interface{ mode() }

// streaming answers arrive token by token; after a loss they resume from a prefix.
type streaming struct{ req *vaneyoke.Request }

// unary answers arrive in one body; after a loss they are restarted.
type unary struct {
	path string
	body []byte
}

func (*streaming) mode() {}
func (*unary) mode()     {}

// encode returns the JSON form of fields, which came from JSON and therefore always encode.
func encode(fields vaneyoke.Fields) []byte {
	body, err := json.Marshal(fields)
	if err != nil {
		panic("relay: fields do not encode: " + err.Error())
	}
	return body
}
