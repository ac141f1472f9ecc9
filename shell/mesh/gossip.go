package mesh

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/samber/lo"
	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/gossip"
)

// Gossip has nodes tell one another of upstreams that fail, by datagrams along the tree; one that is lost on the way is told
// by the next node that fails there.
type Gossip struct {
	node    *Node
	believe func(gossip.Sighting)

	mu    sync.Mutex
	state *gossip.State
	timer *time.Timer
}

// sightings is a datagram by which a node tells another of upstreams.
type sightings struct {
	By  vaneyoke.VMID     `json:"by"`
	All []gossip.Sighting `json:"sightings"`
}

// NewGossip returns a node's gossip, which takes part as soon as the node runs; believe takes in what other nodes saw.
func NewGossip(node *Node, believe func(gossip.Sighting)) *Gossip {
	g := &Gossip{node: node, believe: believe, state: gossip.New(node.self.VM, uint64(time.Now().UnixMilli()))}
	g.timer = time.AfterFunc(time.Hour, func() { g.handle(gossip.Tick{}) })
	g.timer.Stop()
	node.gossip.Store(g)
	return g
}

// Seen tells the others what this node saw of an upstream.
func (g *Gossip) Seen(upstream vaneyoke.UpstreamID, kind gossip.Kind) {
	g.handle(gossip.Observed{Upstream: upstream, Kind: kind})
}

// SeenRun tells the others what a request did to an upstream.
func (g *Gossip) SeenRun(upstream vaneyoke.UpstreamID, kind gossip.Kind, run gossip.Run) {
	g.handle(gossip.Observed{Upstream: upstream, Kind: kind, Run: run})
}

func (g *Gossip) handle(event gossip.Event) {
	var believed []gossip.Sighting
	var sends []gossip.SendSightings
	g.mu.Lock()
	for _, effect := range g.state.Handle(time.Now(), event) {
		switch e := effect.(type) {
		case gossip.ApplySighting:
			believed = append(believed, e.Sighting)
		case gossip.SendSightings:
			sends = append(sends, e)
		}
	}
	if at := g.state.NextTick(); !at.IsZero() {
		g.timer.Reset(time.Until(at))
	}
	g.mu.Unlock()
	for _, s := range believed {
		g.node.metrics.heard()
		if !s.Kind.AboutContent() {
			g.node.logHeard(s)
		}
		g.believe(s)
	}
	for _, s := range sends {
		g.node.tellSightings(s)
	}
}

// logHeard tells what another node saw; single losses, of which three in a row change something, are many and told at the lowest level.
func (n *Node) logHeard(s gossip.Sighting) {
	fields := logrus.Fields{"upstream": s.Upstream, "kind": s.Kind.String(), "peer": s.Origin, "hops": s.Hops}
	if s.Kind == gossip.KindLost {
		n.log.WithFields(fields).Debug("upstream_heard")
		return
	}
	n.log.WithFields(fields).Info("upstream_heard")
}

// tellSightings tells a neighbour. One whose build does not tell what it understands may be of the first that had gossip, which ends
// where it hears of what requests did.
func (n *Node) tellSightings(s gossip.SendSightings) {
	to, ok := lo.Find(n.registeredMembers(), func(m feed.Member) bool { return m.VM == s.To })
	if !ok {
		return
	}
	bears := n.neighbours.dialect(s.To) >= feed.ProtocolLimits
	told := lo.Filter(s.Sightings, func(s gossip.Sighting, _ int) bool { return bears || !s.Kind.AboutContent() })
	if len(told) == 0 {
		return
	}
	n.metrics.sighted(sendInParts(n, to, unmarked, told, func(part []gossip.Sighting) any { return sightings{By: n.self.VM, All: part} }))
}

// takeSightings takes in a datagram, and reports whether it is one of sightings.
func (n *Node) takeSightings(data []byte) bool {
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

// setNeighbours takes in whom the node follows and who follows it.
func (n *Node) setNeighbours(state *feed.State) {
	neighbours := state.FollowerVMs()
	if source, ok := state.Source(); ok {
		neighbours = append(neighbours, source.VM)
	}
	if g := n.gossip.Load(); g != nil {
		g.handle(gossip.NeighboursUpdated{VMs: neighbours})
	}
	if n.takeNeighbours != nil {
		n.takeNeighbours(neighbours)
	}
}
