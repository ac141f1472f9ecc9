package main

import (
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/rawserver"
)

// Guards against a node's answer that is no HTTP and is taken by the operator's commands for success or for its state.
func TestBrokenHeadIsTakenForSuccess(t *testing.T) {
	for _, head := range []string{"000 None\r\n", "200 OK\r\nX Note: y\r\n", "200 OK\r\nX-Note : y\r\n"} {
		t.Run(strings.TrimSpace(head), func(t *testing.T) {
			address := rawserver.Start(t, rawserver.Once("HTTP/1.1 "+head+"Connection: close\r\n\r\n{}"))
			for _, args := range [][]string{
				{"policy", "list", "--admin", "http://" + address, "--key", "k"}, {"status", "--admin", "http://" + address, "--key", "k"},
				{"fleet", "--admin", address},
			} {
				_, err := run(t, args...)
				must.ErrorContains(t, err, "violates HTTP", must.Sprint(args))
			}
		})
	}
}
