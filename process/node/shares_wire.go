package node

import (
	"expvar"

	"github.com/samber/do/v2"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/admissions"
	"github.com/vaneyoke/vaneyoke/shell/mesh"
	"github.com/vaneyoke/vaneyoke/shell/shares"
)

// provideShares returns the component that adds up the demand of all nodes, or nil if the node has no address for other nodes.
func provideShares(i do.Injector) (*shares.Node, error) {
	s := do.MustInvoke[settings.Settings](i)
	if s.Gateway.Peers == "" {
		return nil, nil
	}
	member := do.MustInvoke[*mesh.Node](i)
	node := shares.New(
		vaneyoke.VMID(s.Node.VM), member, do.MustInvoke[*admissions.Node](i), shares.NewMetrics(do.MustInvoke[*expvar.Map](i)), do.MustInvoke[logrus.FieldLogger](i),
	)
	member.OnShares(node.HandleDatagram)
	member.OnTree(node.SetTree)
	return node, nil
}
