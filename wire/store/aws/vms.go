package aws

import (
	"context"
	"encoding/json"
	"net/http"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

var _ store.VMs = (*Client)(nil)

// List returns the VMs known to the platform. A list that has not changed since the last call is not transferred again.
func (c *Client) List(ctx context.Context) ([]store.VM, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.config.VMsURL, nil)
	if err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeSettingsValue, err, "address of the list of VMs")
	}
	c.vmsMu.Lock()
	defer c.vmsMu.Unlock()
	if c.etag != "" {
		req.Header.Set("If-None-Match", c.etag)
	}
	res, err := c.http.Do(req)
	if err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "list of VMs")
	}
	defer func() { _ = res.Body.Close() }()
	switch res.StatusCode {
	case http.StatusNotModified:
		return c.vms, nil
	case http.StatusOK:
		return c.readVMs(res)
	default:
		return nil, vaneyoke.Err(vaneyoke.CodeStoreDown, "list of VMs: status %d", res.StatusCode)
	}
}

// readVMs decodes and stores a changed list.
func (c *Client) readVMs(res *http.Response) ([]store.VM, error) {
	var vms []store.VM
	if err := json.NewDecoder(res.Body).Decode(&vms); err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeStoreDown, err, "list of VMs")
	}
	c.vms, c.etag = vms, res.Header.Get("ETag")
	return vms, nil
}
