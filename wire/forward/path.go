package forward

import (
	"net"
	"strings"

	"github.com/vaneyoke/vaneyoke"
)

// Path is how connections reach an upstream.
type Path string

// The paths that are not through another node.
const (
	AnyPath    Path = ""       // whichever works
	DirectPath Path = "direct" // the node's own path
)

// throughPrefix precedes the node's name in a path through another node.
const throughPrefix = "through "

// PathThrough returns the path through another node.
func PathThrough(helper vaneyoke.VMID) Path { return Path(throughPrefix + string(helper)) }

// Helper returns the node through which a path leads; ok is false for any other path.
func (p Path) Helper() (helper vaneyoke.VMID, ok bool) {
	name, ok := strings.CutPrefix(string(p), throughPrefix)
	return vaneyoke.VMID(name), ok
}

// PathOf returns the path of a connection to an upstream.
func PathOf(conn net.Conn) Path {
	if c, ok := conn.(interface{ Path() Path }); ok {
		return c.Path()
	}
	return DirectPath
}
