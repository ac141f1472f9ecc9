package httpcheck

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"
	"golang.org/x/net/http/httpguts"
)

// heads are the first bytes of responses; violation is a part of the error that they cause, "" for none.
var heads = map[string]struct{ text, violation string }{
	"sound":                      {"HTTP/1.1 200 OK\r\nX-Note: y\r\n\r\n", ""},
	"no reason":                  {"HTTP/1.1 200\r\nX-Note:y\r\n\r\n", ""},
	"two blanks before a status": {"HTTP/1.1  200 OK\r\n\r\n", ""},
	"bare line feeds":            {"HTTP/1.0 503 Full\nX-Note: y\n\n", ""},
	"colons in a value":          {"HTTP/1.1 200 OK\r\nX-Note: a: b : c\r\n\r\n", ""},
	"all signs of a name":        {"HTTP/1.1 200 OK\r\n!#$%&'*+-.^_`|~09azAZ: y\r\n\r\n", ""},
	"empty value":                {"HTTP/1.1 599 Last\r\nX-Note:\r\n\r\n", ""},
	"interim responses":          {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 103 Hints\r\nX-Note: y\r\n\r\nHTTP/1.1 204 None\r\n\r\n", ""},
	"body like a head":           {"HTTP/1.1 200 OK\r\n\r\nHTTP/1.1 000 None\r\nX Note: y\r\n\r\n", ""},

	"status 000":               {"HTTP/1.1 000 None\r\n\r\n", "status is 000"},
	"status 042":               {"HTTP/1.1 042 Low\r\n\r\n", "status is 042"},
	"status 099":               {"HTTP/1.1 099\r\n\r\n", "status is 099"},
	"status 101":               {"HTTP/1.1 101 Switching Protocols\r\n\r\n", "status is 101"},
	"status 600":               {"HTTP/1.1 600 High\n\n", "status is 600"},
	"status of two digits":     {"HTTP/1.1 20 OK\r\n\r\n", "status is 20"},
	"status of four digits":    {"HTTP/1.1 2000 OK\r\n\r\n", "status is not a number"},
	"status with a sign":       {"HTTP/1.1 +20 OK\r\n\r\n", "status is not a number"},
	"no status":                {"HTTP/1.1\r\n\r\n", "no status"},
	"no status after a blank":  {"HTTP/1.1 \r\n\r\n", "no status"},
	"blank within a name":      {"HTTP/1.1 200 OK\r\nX Note: y\r\n\r\n", `the byte ' ' after "X"`},
	"blank before a colon":     {"HTTP/1.1 200 OK\r\nX-Note : y\r\n\r\n", `the byte ' ' after "X-Note"`},
	"blank before a name":      {"HTTP/1.1 200 OK\r\nX-First: x\r\n X-Note: y\r\n\r\n", "begins with a blank"},
	"tab before the first":     {"HTTP/1.1 200 OK\r\n\tX-Note: y\r\n\r\n", "begins with a blank"},
	"NUL":                      {"HTTP/1.1 200 OK\r\nX-\x00Note: y\r\n\r\n", `the byte '\x00' after "X-"`},
	"DEL":                      {"HTTP/1.1 200 OK\r\nX-\x7fNote: y\r\n\r\n", `the byte '\x7f' after "X-"`},
	"high byte":                {"HTTP/1.1 200 OK\r\nX-\xe9: y\r\n\r\n", `after "X-"`},
	"carriage return":          {"HTTP/1.1 200 OK\r\nX-\rNote: y\r\n\r\n", `the byte '\r' after "X-"`},
	"two carriage returns":     {"HTTP/1.1 200 OK\r\n\r\r\n\r\n", "begins with a carriage return"},
	"empty name":               {"HTTP/1.1 200 OK\r\n: y\r\n\r\n", `the byte ':' after ""`},
	"no colon":                 {"HTTP/1.1 200 OK\r\nX-Note\r\n\r\n", `the byte '\r' after "X-Note"`},
	"long name":                {"HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 1000) + " : y\r\n\r\n", `after "` + strings.Repeat("x", maxQuotedBytes) + `"`},
	"interim, blank":           {"HTTP/1.1 103 Hints\r\nX Note: y\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", `the byte ' ' after "X"`},
	"final after interim":      {"HTTP/1.1 103 Hints\r\nX-Note: y\r\n\r\nHTTP/1.1 200 OK\r\nX-Note : y\r\n\r\n", `the byte ' ' after "X-Note"`},
	"status 000 after interim": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\n\r\n", "status is 000"},
}

// Guards against heads that are no HTTP and pass, and sound ones that do not, however their bytes arrive.
func TestHeadThatIsNoHTTPPasses(t *testing.T) {
	for name, tc := range heads {
		t.Run(name, func(t *testing.T) {
			for at := range len(tc.text) + 1 {
				parts := io.MultiReader(strings.NewReader(tc.text[:at]), strings.NewReader(tc.text[at:]))
				mustRead(t, NewReader(parts), tc.text, tc.violation)
			}
			mustRead(t, NewReader(iotest.OneByteReader(strings.NewReader(tc.text))), tc.text, tc.violation)
		})
	}
}

func mustRead(t *testing.T, r io.Reader, text, violation string) {
	t.Helper()
	got, err := io.ReadAll(r)
	must.StrHasPrefix(t, string(got), text)
	if violation == "" {
		must.NoError(t, err)
		must.EqOp(t, text, string(got))
		return
	}
	must.ErrorContains(t, err, violation)
	for r := bufio.NewReader(bytes.NewReader(got)); ; {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return
		}
		must.Less(t, minFinalStatus, res.StatusCode, must.Sprint("what precedes the violation holds a whole head"))
	}
}

// FuzzHeads checks that package http, which reads what passes, finds no head in it that is no HTTP, and that it makes no difference how the bytes arrive.
func FuzzHeads(f *testing.F) {
	for _, tc := range heads {
		f.Add([]byte(tc.text), 7)
	}
	f.Fuzz(func(t *testing.T, text []byte, at int) {
		at = min(max(at, 0), len(text))
		passed, err := io.ReadAll(NewReader(bytes.NewReader(text)))
		parts, partsErr := io.ReadAll(NewReader(io.MultiReader(bytes.NewReader(text[:at]), bytes.NewReader(text[at:]))))
		must.EqOp(t, string(passed), string(parts))
		must.EqOp(t, err == nil, partsErr == nil)
		r := bufio.NewReader(bytes.NewReader(passed))
		for {
			res, parseErr := http.ReadResponse(r, nil)
			if parseErr != nil {
				return
			}
			must.Between(t, minStatus, res.StatusCode, maxStatus)
			must.NotEq(t, switchingProtocols, res.StatusCode)
			for name := range res.Header {
				must.True(t, httpguts.ValidHeaderFieldName(name), must.Sprintf("%q", name))
			}
			if res.StatusCode >= minFinalStatus {
				must.NoError(t, err)
				return
			}
		}
	})
}
