package node

import (
	"context"
	"net"
	"net/http"

	"github.com/vaneyoke/vaneyoke/process/settings"
)

// newTransport returns a transport that connects with dial, and reads no more of a head than the settings allow.
func newTransport(limits settings.Limits, dial func(ctx context.Context, network, address string) (net.Conn, error)) *http.Transport {
	return &http.Transport{DialContext: dial, MaxResponseHeaderBytes: int64(limits.HeadBytes)}
}
