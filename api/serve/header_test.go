package serve

import (
	"bufio"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"
)

// TestHeaderMeter: what is measured of a header depends neither on how it is cut into reads nor on what follows it.
func TestHeaderMeter(t *testing.T) {
	cases := map[string]struct {
		text  string
		want  headerMeter
		limit int // the largest that it exceeds
	}{
		"whole":                  {"GET / HTTP/1.1\r\na: b\r\nc: d\r\n\r\n", headerMeter{first: 16, bytes: 14, lines: 3, ended: true}, 15},
		"followed by a body":     {"GET / HTTP/1.1\r\na: b\r\n\r\nbody\r\n\r\nbody", headerMeter{first: 16, bytes: 8, lines: 2, ended: true}, 15},
		"without returns":        {"GET / HTTP/1.1\na: b\n\nbody", headerMeter{first: 15, bytes: 6, lines: 2, ended: true}, 14},
		"within a line":          {"GET / HTTP/1.1\r\na: b", headerMeter{first: 16, bytes: 4, lines: 1, lineBytes: 4}, 15},
		"within the end":         {"GET / HTTP/1.1\r\na: b\r\n\r", headerMeter{first: 16, bytes: 7, lines: 2, lineBytes: 1, isCRLast: true}, 15},
		"a line of returns":      {"GET / HTTP/1.1\r\n\r\r\nX", headerMeter{first: 16, bytes: 4, lines: 2, lineBytes: 1}, 15},
		"empty lines before it":  {"\r\n\r\n\nGET", headerMeter{first: 8, lineBytes: 3}, 7},
		"a request line, no end": {strings.Repeat("a", 100), headerMeter{first: 100, lineBytes: 100}, 99},
		"a line without end":     {"GET /\n" + strings.Repeat("a", 100), headerMeter{first: 6, bytes: 100, lines: 1, lineBytes: 100}, 99},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			for _, size := range []int{1, 2, 3, 7, 1000} {
				var m headerMeter
				for rest := tc.text; rest != ""; {
					n := min(size, len(rest))
					m.add([]byte(rest[:n]))
					rest = rest[n:]
				}
				must.EqOp(t, tc.want, m, must.Sprint(size))
				must.True(t, m.exceeds(tc.limit))
				must.False(t, m.exceeds(tc.limit+1))
			}
		})
	}
}

// FuzzHeaderMeter checks that a header which package http takes has ended for the meter, too, however it is cut into reads.
func FuzzHeaderMeter(f *testing.F) {
	for _, text := range []string{"GET / HTTP/1.1\r\nHost: h\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\n", "GET / HTTP/1.1\r\n\r\r\nHost: h\r\n\r\n", "\r\nGET / HTTP/1.0\r\n\r\n"} {
		f.Add(text, uint8(1))
		f.Add(text, uint8(3))
	}
	f.Fuzz(func(t *testing.T, text string, size uint8) {
		var whole, cut headerMeter
		whole.add([]byte(text))
		for rest := []byte(text); len(rest) > 0; {
			n := min(max(int(size), 1), len(rest))
			cut.add(rest[:n])
			rest = rest[n:]
		}
		must.EqOp(t, whole, cut)
		source := strings.NewReader(text)
		reader := bufio.NewReaderSize(source, 16)
		if _, err := http.ReadRequest(reader); err == nil {
			read := len(text) - source.Len() - reader.Buffered()
			must.True(t, whole.ended)
			must.EqOp(t, read, whole.first+whole.bytes)
		}
	})
}
