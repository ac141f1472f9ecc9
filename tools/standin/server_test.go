package standin_test

import (
	"net"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/tools/standin"
)

// TestClosedStandinRefusesConnections guards against a listener that stays open when Close is called before Serve has registered it.
func TestClosedStandinRefusesConnections(t *testing.T) {
	for range 200 {
		p, err := standin.NewPlatform("127.0.0.1:0")
		must.NoError(t, err)
		must.NoError(t, p.Close())
		conn, err := net.Dial("tcp", strings.TrimPrefix(p.URL(), "http://"))
		if err == nil {
			_ = conn.Close()
		}
		must.Error(t, err)
	}
}
