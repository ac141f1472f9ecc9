package fleet

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"slices"
	"strconv"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/process/node"
	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/process/telemetry"
	"github.com/vaneyoke/vaneyoke/shell/catalog"
	"github.com/vaneyoke/vaneyoke/tools/standin"
	"github.com/vaneyoke/vaneyoke/wire/store"
)

// The model, service and API keys that every fleet is configured with.
const (
	Model       vaneyoke.ModelID   = "reconcile-1"
	Service     vaneyoke.ServiceID = "stock"
	CallerKey                      = "caller-key"
	OperatorKey                    = "operator-key"
	AdminKey                       = "administrator-key"
	loopback                       = "127.0.0.1"
)

// portsPerNode is the number of ports that a node listens on.
const portsPerNode = 3

var dataCentres = []vaneyoke.DataCentreID{"hall-a", "hall-b", "hall-c"}

// Config sets the size of a fleet and the settings of its nodes.
type Config struct {
	Nodes           int
	Engines         int
	Services        int
	FirstPort       int // first port of the nodes; 0 for ephemeral ports
	Engine          standin.EngineConfig
	EngineVersions  []vaneyoke.SoftwareVersion // software versions of the engines in turn; nil for none stated
	Recovery        vaneyoke.Recovery
	RegisterMembers bool // register all nodes as members before they start, so that they need not join one by one
	Log             io.Writer
	LogLevel        string
	TraceOutput     string // [trace] output of the nodes
	AdjustSettings  func(*settings.Settings)
}

// Fleet is a running set of nodes and stand-ins.
type Fleet struct {
	Platform *standin.Platform
	Engines  []*standin.Engine
	Services []*standin.Service
	Nodes    []*node.Node
	config   Config
	log      *logrus.Logger
}

// Start starts a fleet and returns it when its nodes are ready.
func Start(ctx context.Context, config Config) (*Fleet, error) {
	log, err := telemetry.NewLogger(config.Log, config.LogLevel)
	if err != nil {
		return nil, vaneyoke.WrapErr(vaneyoke.CodeUsage, err, "log level")
	}
	f := &Fleet{config: config, log: log}
	if err := f.start(ctx); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start(ctx context.Context) error {
	if err := f.startStandins(); err != nil {
		return err
	}
	if err := f.configure(ctx); err != nil {
		return err
	}
	for i := range f.config.Nodes {
		if err := f.startNode(ctx, i); err != nil {
			return err
		}
	}
	f.publishVMs(ctx)
	return nil
}

func vmID(i int) vaneyoke.VMID { return vaneyoke.VMID(fmt.Sprintf("vm-%d", i)) }

func (f *Fleet) startStandins() error {
	address := net.JoinHostPort(loopback, "0")
	var err error
	if f.Platform, err = standin.NewPlatform(address); err != nil {
		return err
	}
	for range f.config.Engines {
		e, err := standin.NewEngine(address, f.config.Engine)
		if err != nil {
			return err
		}
		f.Engines = append(f.Engines, e)
	}
	for range f.config.Services {
		s, err := standin.NewService(address)
		if err != nil {
			return err
		}
		f.Services = append(f.Services, s)
	}
	return nil
}

// configure writes the upstreams, the workspace and, with RegisterMembers, the nodes to the table.
func (f *Fleet) configure(ctx context.Context) error {
	var changes []catalog.Change
	for _, u := range f.Upstreams() {
		changes = append(changes, catalog.Change{Partition: catalog.PartitionUpstreams, ID: string(u.ID), Value: u})
	}
	workspace := vaneyoke.Workspace{
		ID:       "souk",
		Recovery: f.config.Recovery,
		Keys: []vaneyoke.Key{
			{Hash: catalog.HashKey(CallerKey), Role: vaneyoke.RoleCaller},
			{Hash: catalog.HashKey(OperatorKey), Role: vaneyoke.RoleOperator},
			{Hash: catalog.HashKey(AdminKey), Role: vaneyoke.RoleAdministrator},
		},
	}
	changes = append(changes, catalog.Change{Partition: catalog.PartitionWorkspaces, ID: string(workspace.ID), Value: workspace})
	for i := range f.config.Nodes {
		if f.config.RegisterMembers {
			node := catalog.Node{VM: vmID(i), DataCentre: dataCentres[i%len(dataCentres)]}
			changes = append(changes, catalog.Change{Partition: catalog.PartitionNodes, ID: string(node.VM), Value: node})
		}
	}
	_, err := catalog.Apply(ctx, f.Platform.Memory, changes...)
	return err
}

// Upstreams returns the engines and services of the fleet as upstreams.
func (f *Fleet) Upstreams() []vaneyoke.Upstream {
	var list []vaneyoke.Upstream
	for i, e := range f.Engines {
		list = append(list, vaneyoke.Upstream{
			ID:         vaneyoke.UpstreamID(fmt.Sprintf("engine-%d", i)),
			Kind:       vaneyoke.KindEngine,
			URL:        e.URL(),
			DataCentre: dataCentres[i%len(dataCentres)],
			State:      vaneyoke.StateLive,
			Models:     []vaneyoke.ModelID{Model},
			Slots:      f.config.Engine.Slots,
			Version:    f.engineVersion(i),
		})
	}
	for i, s := range f.Services {
		list = append(list, vaneyoke.Upstream{
			ID:         vaneyoke.UpstreamID(fmt.Sprintf("service-%d", i)),
			Kind:       vaneyoke.KindService,
			URL:        s.URL(),
			DataCentre: dataCentres[i%len(dataCentres)],
			State:      vaneyoke.StateLive,
			Service:    Service,
		})
	}
	return list
}

// Settings returns the settings of node i.
func (f *Fleet) Settings(i int) (settings.Settings, error) {
	text := fmt.Sprintf(`
[node]
vm = %s
data_centre = %s
listen = %s
admin = %s
[peers]
listen = %s
keys = fleet-key
[platform]
table_url = %s
object_url = %s
vms_url = %s
`, vmID(i), dataCentres[i%len(dataCentres)], f.address(portsPerNode*i), f.address(portsPerNode*i+1), f.address(portsPerNode*i+2), f.Platform.URL(), f.Platform.ObjectURL(), f.Platform.VMsURL())
	s, err := settings.Parse([]byte(text), "fleet")
	s.Trace.Output = f.config.TraceOutput
	if f.config.AdjustSettings != nil {
		f.config.AdjustSettings(&s)
	}
	return s, err
}

func (f *Fleet) address(offset int) string {
	if f.config.FirstPort == 0 {
		return net.JoinHostPort(loopback, "0")
	}
	return net.JoinHostPort(loopback, strconv.Itoa(f.config.FirstPort+offset))
}

// StartNode starts node i, or restarts it after it was killed.
func (f *Fleet) StartNode(ctx context.Context, i int) error {
	if err := f.startNode(ctx, i); err != nil {
		return err
	}
	f.publishVMs(ctx)
	return nil
}

func (f *Fleet) startNode(ctx context.Context, i int) error {
	s, err := f.Settings(i)
	if err != nil {
		return err
	}
	n, err := node.Build(s, f.log)
	if err != nil {
		return err
	}
	if err := n.Start(ctx); err != nil {
		return err
	}
	if i < len(f.Nodes) {
		f.Nodes[i] = n
	} else {
		f.Nodes = append(f.Nodes, n)
	}
	return nil
}

// publishVMs updates the platform's list of VMs and has the nodes read it.
func (f *Fleet) publishVMs(ctx context.Context) {
	var vms []store.VM
	for _, n := range f.Nodes {
		vms = append(vms, n.VM())
	}
	f.Platform.Memory.SetVMs(vms)
	for _, n := range f.Nodes {
		n.ReadVMs(ctx)
		n.Refresh(ctx)
	}
}

func (f *Fleet) engineVersion(engine int) vaneyoke.SoftwareVersion {
	if len(f.config.EngineVersions) == 0 {
		return ""
	}
	return f.config.EngineVersions[engine%len(f.config.EngineVersions)]
}

// VersionsRun returns the software versions of the engines that have run anything.
func (f *Fleet) VersionsRun() (versions []vaneyoke.SoftwareVersion) {
	for i, e := range f.Engines {
		if v := f.engineVersion(i); e.Stats().Runs > 0 && !slices.Contains(versions, v) {
			versions = append(versions, v)
		}
	}
	return versions
}

// BusyEngine returns an engine with an open run, or nil if there is none.
func (f *Fleet) BusyEngine() *standin.Engine {
	for _, e := range f.Engines {
		if e.Stats().OpenRuns > 0 {
			return e
		}
	}
	return nil
}

// Stop stops the nodes gracefully, and then closes the stand-ins.
func (f *Fleet) Stop(ctx context.Context) error {
	var errs []error
	for _, n := range f.Nodes {
		errs = append(errs, n.Stop(ctx))
	}
	f.Nodes = nil
	f.Close()
	return errors.Join(errs...)
}

// Close kills the nodes and closes the stand-ins.
func (f *Fleet) Close() {
	for _, n := range f.Nodes {
		n.Kill()
	}
	for _, e := range f.Engines {
		_ = e.Close()
	}
	for _, s := range f.Services {
		_ = s.Close()
	}
	if f.Platform != nil {
		_ = f.Platform.Close()
	}
}
