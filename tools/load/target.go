package load

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/tools/standin"
)

// Target is the fleet that a load is sent to.
type Target interface {
	// Nodes returns the base URLs of the nodes.
	Nodes() []string
	// Key returns the callers' API key.
	Key() string
	// InjectFault injects or ends a fault.
	InjectFault(ctx context.Context, f Fault) error
	// DecodedTokens returns how many tokens the engines have generated, and whether that is known.
	DecodedTokens(ctx context.Context) (int64, bool)
	// Orders returns how often the services executed each order, and whether that is known.
	Orders(ctx context.Context) (map[string]int, bool)
}

// PostFault injects a fault into the stand-in at url.
func PostFault(ctx context.Context, url string, f Fault) error {
	body, err := json.Marshal(standin.Fault{Fault: f.Fault, Factor: f.Factor, Count: int(f.Factor)})
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/standin/fault", bytes.NewReader(body))
	if err != nil {
		return err
	}
	res, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	_ = res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return vaneyoke.Err(vaneyoke.CodeUsage, "fault %s: status %d", f, res.StatusCode)
	}
	return nil
}
