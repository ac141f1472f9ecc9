package mesh

import (
	"encoding/json"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
)

// Gossip spreads sightings of failing upstreams between nodes, by datagrams along the edges of the tree. A lost datagram is not sent
// again; the next node that fails at the upstream sends a new sighting.
type Gossip struct {
	node  *Node
	apply func(gossip.Sighting)

	mu    sync.Mutex
	state *gossip.State
	timer *time.Timer
}

// sightings is a datagram with sightings of upstreams.
type sightings struct {
	By  vaneyoke.VMID     `json:"by"`
	All []gossip.Sighting `json:"sightings"`
}

// NewGossip returns the gossip of a node, which is active as soon as the node runs; apply receives the sightings of other nodes.
func NewGossip(node *Node, apply func(gossip.Sighting)) *Gossip {
	g := &Gossip{node: node, apply: apply, state: gossip.New(node.self.VM, uint64(time.Now().UnixMilli()))}
	g.timer = time.AfterFunc(time.Hour, func() { g.handle(gossip.Tick{}) })
	g.timer.Stop()
	node.gossip.Store(g)
	return g
}

// Observe sends the other nodes what this node observed of an upstream.
func (g *Gossip) Observe(upstream vaneyoke.UpstreamID, kind gossip.Kind) {
	g.handle(gossip.Observed{Upstream: upstream, Kind: kind})
}

// ObserveRun sends the other nodes what effect a request had on an upstream.
func (g *Gossip) ObserveRun(upstream vaneyoke.UpstreamID, kind gossip.Kind, run gossip.Run) {
	g.handle(gossip.Observed{Upstream: upstream, Kind: kind, Run: run})
}

// ObserveLeaving sends the other nodes that an incarnation of an upstream announced that it shuts down, which it may have begun that long ago.
func (g *Gossip) ObserveLeaving(upstream vaneyoke.UpstreamID, incarnation vaneyoke.Incarnation, since time.Duration) {
	g.handle(gossip.Observed{Upstream: upstream, Kind: gossip.KindLeaving, Run: gossip.Run{Incarnation: incarnation}, Since: since})
}

func (g *Gossip) handle(event gossip.Event) {
	var applied []gossip.Sighting
	var sends []gossip.SendSightings
	g.mu.Lock()
	for _, effect := range g.state.Handle(time.Now(), event) {
		switch e := effect.(type) {
		case gossip.ApplySighting:
			applied = append(applied, e.Sighting)
		case gossip.SendSightings:
			sends = append(sends, e)
		}
	}
	if at := g.state.NextTick(); !at.IsZero() {
		g.timer.Reset(time.Until(at))
	}
	g.mu.Unlock()
	for _, s := range applied {
		g.node.metrics.countSightingReceived()
		if !s.Kind.AboutContent() {
			g.node.logSighting(s)
		}
		g.apply(s)
	}
	for _, s := range sends {
		g.node.sendSightings(s)
	}
}

// ObservePace sends the other nodes how slow an upstream is.
func (g *Gossip) ObservePace(upstream vaneyoke.UpstreamID, incarnation vaneyoke.Incarnation, factor gossip.Factor) {
	g.handle(gossip.Observed{Upstream: upstream, Kind: gossip.KindPaced, Run: gossip.Run{Incarnation: incarnation}, Factor: factor})
}

// logSighting logs a sighting of another node. Single lost requests and the pace of upstreams are logged at debug level, since they are frequent.
func (n *Node) logSighting(s gossip.Sighting) {
	fields := logrus.Fields{"upstream": s.Upstream, "kind": s.Kind.String(), "peer": s.Origin, "hops": s.Hops}
	if s.Kind == gossip.KindLost || s.Kind == gossip.KindPaced {
		n.log.WithFields(fields).Debug("upstream_heard")
		return
	}
	n.log.WithFields(fields).Info("upstream_heard")
}

// minProtocol returns the protocol version from which on builds understand a kind of sighting. Some builds of earlier versions exit when they
// receive it.
func minProtocol(kind gossip.Kind) feed.ProtocolVersion {
	switch kind {
	case gossip.KindLost, gossip.KindUnreachable, gossip.KindReplaced, gossip.KindHealthy:
		return feed.ProtocolInitial
	case gossip.KindCrash, gossip.KindSurvived:
		return feed.ProtocolLimits
	default:
		return feed.ProtocolShares
	}
}

// sendSightings sends a neighbour the sightings that its build understands.
func (n *Node) sendSightings(s gossip.SendSightings) {
	to, ok := lo.Find(n.registeredMembers(), func(m feed.Member) bool { return m.VM == s.To })
	if !ok {
		return
	}
	protocol := n.neighbours.protocol(s.To)
	sent := lo.Filter(s.Sightings, func(s gossip.Sighting, _ int) bool { return protocol >= minProtocol(s.Kind) })
	if len(sent) == 0 {
		return
	}
	n.metrics.countSightingsSent(sendInParts(n, to, typeNone, sent, func(part []gossip.Sighting) any { return sightings{By: n.self.VM, All: part} }))
}

// handleSightings handles a datagram of sightings, and reports whether it is one.
func (n *Node) handleSightings(data []byte) bool {
	var s sightings
	g := n.gossip.Load()
	if json.Unmarshal(data, &s) != nil || len(s.All) == 0 {
		return false
	}
	if g != nil && s.By != n.self.VM {
		g.handle(gossip.SightingsReceived{From: s.By, Sightings: s.All})
	}
	return true
}

// setNeighbours passes on the source and the followers of this node.
func (n *Node) setNeighbours(state *feed.State) {
	followers := state.FollowerVMs()
	source, ok := state.Source()
	if n.onTree != nil {
		n.onTree(source.VM, slices.Clone(followers))
	}
	neighbours := followers
	if ok {
		neighbours = append(neighbours, source.VM)
	}
	if g := n.gossip.Load(); g != nil {
		g.handle(gossip.NeighboursUpdated{VMs: neighbours})
	}
	if n.onNeighbours != nil {
		n.onNeighbours(neighbours)
	}
}
