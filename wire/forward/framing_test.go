package forward_test

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Guards against framed bodies, or none, that are taken for ones which only a connection's end frames, and the other way round.
func TestFramingIsMistaken(t *testing.T) {
	body := io.NopCloser(strings.NewReader("x"))
	cases := map[string]struct {
		res  http.Response
		want forward.Framing
	}{
		"length":                  {http.Response{ContentLength: 1, Body: body}, forward.FramedByLength},
		"no body, length unknown": {http.Response{ContentLength: -1, Body: http.NoBody}, forward.FramedByLength},
		"chunks":                  {http.Response{ContentLength: -1, TransferEncoding: []string{"chunked"}, Body: body}, forward.FramedByChunks},
		"length of encoded bytes": {http.Response{ContentLength: -1, Uncompressed: true, Body: body}, forward.FramedByLength},
		"neither":                 {http.Response{ContentLength: -1, Body: body}, forward.CloseDelimited},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) { must.EqOp(t, tc.want, forward.FramingOf(&tc.res)) })
	}
}
