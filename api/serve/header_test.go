package serve

import (
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
		"within the end":         {"GET / HTTP/1.1\r\na: b\r\n\r", headerMeter{first: 16, bytes: 7, lines: 2}, 15},
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
