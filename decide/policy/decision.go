package policy

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
)

// Decision is the outcome of the policies for a request; the zero value leaves everything to the node's settings.
type Decision struct {
	Rule     string              // policy and rule that matched, "" for the default
	Order    []vaneyoke.Selector // upstreams in order of preference; nil for any
	MaxWait  time.Duration       // 0 for the node's setting
	Priority int                 // 0 for the default; as in the engines' API, lower values are served first
	Recovery vaneyoke.Recovery   // "" for the workspace's setting
}
