package operatorapi

import (
	"context"
	"net/http"
	"time"

	"github.com/danielgtaylor/huma/v2"
	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/steady"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
)

// statusTimeout is how long the nodes may take to report their revision.
const statusTimeout = time.Second

// NodeStatus is the status of one node.
type NodeStatus struct {
	VM         vaneyoke.VMID         `json:"vm"`
	DataCentre vaneyoke.DataCentreID `json:"data_centre"`
	Reached    bool                  `json:"reached"`
	Revision   vaneyoke.Revision     `json:"revision" doc:"Revision in force there."`
	Behind     vaneyoke.Revision     `json:"behind" doc:"Revisions behind the newest that the node which answers knows of."`
}

type statusOutput struct {
	Body struct {
		Revision vaneyoke.Revision `json:"revision"`
		Fresh    bool              `json:"fresh" doc:"Whether the node that answers may take new work."`
		Nodes    []NodeStatus      `json:"nodes"`
	}
}

type auditOutput struct {
	Body struct {
		Entries []catalog.AuditEntry `json:"entries"`
		Next    string               `json:"next,omitempty"`
	}
}

func (a *API) registerFleet(api huma.API) {
	register(api, http.MethodGet, "/v1/status", "Tell which revision each node has in force.", a.status)
	register(api, http.MethodGet, "/v1/audit", "List who changed what, the oldest first.", a.audit)
}

func (a *API) status(ctx context.Context, in *AuthInput) (*statusOutput, error) {
	if _, err := a.authorize(*in, vaneyoke.RoleViewer); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	current := a.follower.Current()
	_, revisions := a.follower.ActiveRevisions(ctx, current.Revision)
	newest := lo.Max(append(lo.Values(revisions), current.Revision))
	out := &statusOutput{}
	out.Body.Revision = current.Revision
	out.Body.Fresh = a.follower.Fresh(steady.Now())
	out.Body.Nodes = lo.Map(current.Nodes, func(n catalog.Node, _ int) NodeStatus {
		revision, reached := revisions[n.VM]
		return NodeStatus{VM: n.VM, DataCentre: n.DataCentre, Reached: reached, Revision: revision, Behind: newest - revision}
	})
	return out, nil
}

func (a *API) audit(ctx context.Context, in *pageInput) (*auditOutput, error) {
	if _, err := a.authorize(in.AuthInput, vaneyoke.RoleViewer); err != nil {
		return nil, err
	}
	page, err := a.table.Scan(ctx, catalog.PartitionAudit, in.After, lo.CoalesceOrEmpty(in.Limit, defaultPageRows))
	if err != nil {
		return nil, err
	}
	out := &auditOutput{}
	out.Body.Next = page.Next
	out.Body.Entries, err = catalog.Decode[catalog.AuditEntry](page.Rows)
	return out, err
}
