// Package quarantine decides, without I/O, which contents of requests (see vaneyoke.ContentID) are blocked: upstreams have crashed repeatedly as
// they began to run them, so no upstream gets them for a while.
package quarantine
