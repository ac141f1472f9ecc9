package forward

import (
	"net/http"
	"slices"
)

// Framing is what tells where the body of a response ends.
type Framing int

// The ways to frame a body.
const (
	FramedByLength Framing = iota // its length is stated, or it has none
	FramedByChunks
	CloseDelimited // it ends where its connection does, so that its end and a break of its upstream look the same
)

// String returns the framing as it is logged.
func (f Framing) String() string {
	switch f {
	case FramedByChunks:
		return "chunks"
	case CloseDelimited:
		return "close"
	default:
		return "length"
	}
}

// FramingOf returns what tells where the body of a response ends.
func FramingOf(res *http.Response) Framing {
	switch {
	case slices.Contains(res.TransferEncoding, "chunked"):
		return FramedByChunks
	case res.ContentLength < 0 && res.Body != http.NoBody && !res.Uncompressed:
		return CloseDelimited
	default:
		return FramedByLength
	}
}
