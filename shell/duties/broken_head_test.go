package duties

import (
	"expvar"
	"io"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/rawserver"
)

// parentOnly is a tree in which every node forwards to one address.
type parentOnly struct{ address string }

func (p parentOnly) Parent() (feed.Member, bool) {
	return feed.Member{VM: "parent", Address: p.address}, true
}
func (p parentOnly) StoreReader() (feed.Member, bool) { return p.Parent() }
func (parentOnly) ReadsStore() bool                   { return false }
func (parentOnly) ConfirmedByStore() bool             { return false }
func (parentOnly) Members() int                       { return 2 }

// Guards against counts that are dropped because another node's answer, which is no HTTP, is taken for its word that it has them.
func TestBrokenHeadAcknowledgesCounts(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	for _, head := range []string{"000 None\r\n", "200 OK\r\nX Note: y\r\n", "200 OK\r\nX-Note : y\r\n"} {
		address := rawserver.Start(t, rawserver.Once("HTTP/1.1 "+head+"Content-Length: 0\r\nConnection: close\r\n\r\n"))
		n := New("vm-0", 1, Config{}, nil, nil, nil, parentOnly{address}, http.DefaultClient, NewMetrics(new(expvar.Map).Init()), log)
		must.ErrorContains(t, n.forwardToParent(t.Context(), forwardMessage{}), "violates HTTP")
	}
}
