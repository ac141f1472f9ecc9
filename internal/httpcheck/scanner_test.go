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

// rejected stands for the error of package net/http, which the scanner leaves to it.
const rejected = "rejected"

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
	"status with a sign":       {"HTTP/1.1 +20 OK\r\n\r\n", "status is +20"},
	"status 000, two blanks":   {"HTTP/1.1  000 None\r\n\r\n", "status is 000"},
	"blank within a name":      {"HTTP/1.1 200 OK\r\nX Note: y\r\n\r\n", `a field is "X Note"`},
	"blank before a colon":     {"HTTP/1.1 200 OK\r\nX-Note : y\r\n\r\n", `a field is "X-Note "`},
	"blank before a name":      {"HTTP/1.1 200 OK\r\nX-First: x\r\n X-Note: y\r\n\r\n", "begins with a blank"},
	"tab before a name":        {"HTTP/1.1 200 OK\r\nX-First: x\r\n\tX-Note: y\r\n\r\n", "begins with a blank"},
	"long name":                {"HTTP/1.1 200 OK\r\n" + strings.Repeat("x", 1000) + " : y\r\n\r\n", `a field is "` + strings.Repeat("x", maxQuotedBytes) + `"`},
	"interim, blank":           {"HTTP/1.1 103 Hints\r\nX Note: y\r\n\r\nHTTP/1.1 200 OK\r\n\r\n", `a field is "X Note"`},
	"final after interim":      {"HTTP/1.1 103 Hints\r\nX-Note: y\r\n\r\nHTTP/1.1 200 OK\r\nX-Note : y\r\n\r\n", `a field is "X-Note "`},
	"status 000 after interim": {"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 None\r\n\r\n", "status is 000"},

	"status of two digits":    {"HTTP/1.1 20 OK\r\n\r\n", rejected},
	"status of four digits":   {"HTTP/1.1 2000 OK\r\n\r\n", rejected},
	"no number":               {"HTTP/1.1 2x0 OK\r\n\r\n", rejected},
	"no status":               {"HTTP/1.1\r\n\r\n", rejected},
	"no status after a blank": {"HTTP/1.1 \r\n\r\n", rejected},
	"NUL":                     {"HTTP/1.1 200 OK\r\nX-\x00Note: y\r\n\r\n", rejected},
	"DEL":                     {"HTTP/1.1 200 OK\r\nX-\x7fNote: y\r\n\r\n", rejected},
	"high byte":               {"HTTP/1.1 200 OK\r\nX-\xe9: y\r\n\r\n", rejected},
	"tab":                     {"HTTP/1.1 200 OK\r\nX\tNote: y\r\n\r\n", rejected},
	"carriage return":         {"HTTP/1.1 200 OK\r\nX-\rNote: y\r\n\r\n", rejected},
	"blank and control byte":  {"HTTP/1.1 200 OK\r\nX \x01: y\r\n\r\n", rejected},
	"two carriage returns":    {"HTTP/1.1 200 OK\r\n\r\r\n\r\n", rejected},
	"empty name":              {"HTTP/1.1 200 OK\r\n: y\r\n\r\n", rejected},
	"no colon":                {"HTTP/1.1 200 OK\r\nX-Note\r\n\r\n", rejected},
	"no colon, blanks":        {"HTTP/1.1 200 OK\r\nnot a field\r\n\r\n", rejected},
	"value with a byte":       {"HTTP/1.1 200 OK\r\nX-Note: \x01\r\n\r\n", rejected},
	"length of two values":    {"HTTP/1.1 200 OK\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\n", rejected},
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

// mustRead reads text to its end or the violation, after which package net/http finds no final head in what was read.
func mustRead(t *testing.T, r io.Reader, text, violation string) {
	t.Helper()
	got, err := io.ReadAll(r)
	must.StrHasPrefix(t, string(got), text)
	if violation == "" || violation == rejected {
		must.NoError(t, err)
		must.EqOp(t, text, string(got))
	} else {
		must.ErrorContains(t, err, violation)
	}
	_, err = readFinalHead(got)
	must.EqOp(t, violation == "", err == nil, must.Sprint(err))
}

// readFinalHead reads a response after its interim responses, as package net/http does.
func readFinalHead(text []byte) (*http.Response, error) {
	for r := bufio.NewReader(bytes.NewReader(text)); ; {
		res, err := http.ReadResponse(r, nil)
		if err != nil || res.StatusCode >= minFinalStatus || res.StatusCode < minStatus || res.StatusCode == switchingProtocols {
			return res, err
		}
	}
}

// FuzzHeads checks that package net/http, which reads what passes, finds no head in it that is no HTTP, and that it makes no difference how the bytes
// arrive.
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
		res, parseErr := readFinalHead(passed)
		if parseErr != nil {
			return
		}
		must.NoError(t, err)
		must.Between(t, minFinalStatus, res.StatusCode, maxStatus)
		for name := range res.Header {
			must.True(t, httpguts.ValidHeaderFieldName(name), must.Sprintf("%q", name))
		}
		whole, wholeErr := readFinalHead(text)
		must.NoError(t, wholeErr)
		must.Eq(t, whole.Header, res.Header)
	})
}
