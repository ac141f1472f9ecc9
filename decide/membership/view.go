package membership

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

// homes is the number of nodes that know who owns a session.
const homes = 2

// Peer is a node as the list of VMs tells of it.
type Peer struct {
	VM         vaneyoke.VMID
	DataCentre vaneyoke.DataCentreID
	Address    string // IP number and port of the peer API
}

// View is the set of nodes that take part in keeping journals.
type View struct {
	peers       []Peer
	dataCentres []vaneyoke.DataCentreID
}

// NewView returns a view of the given nodes, the own one among them.
func NewView(peers []Peer) *View {
	v := &View{peers: slices.Clone(peers)}
	slices.SortFunc(v.peers, func(a, b Peer) int { return cmp.Compare(a.VM, b.VM) })
	for _, p := range v.peers {
		if !slices.Contains(v.dataCentres, p.DataCentre) {
			v.dataCentres = append(v.dataCentres, p.DataCentre)
		}
	}
	return v
}

// Len returns the number of nodes.
func (v *View) Len() int { return len(v.peers) }

// VMs returns the VMs of all nodes.
func (v *View) VMs() []vaneyoke.VMID {
	return lo.Map(v.peers, func(p Peer, _ int) vaneyoke.VMID { return p.VM })
}

// Find returns the node on a VM.
func (v *View) Find(vm vaneyoke.VMID) (Peer, bool) {
	i, ok := slices.BinarySearchFunc(v.peers, vm, func(p Peer, vm vaneyoke.VMID) int { return cmp.Compare(p.VM, vm) })
	if !ok {
		return Peer{}, false
	}
	return v.peers[i], true
}

// DirectoryPeers returns the nodes that know who owns a session: one in each of two data centres, or as many as there are.
// Every node with the same view gives the same answer, and a change of the view moves few sessions.
func (v *View) DirectoryPeers(key string) []Peer {
	ranked := slices.Clone(v.dataCentres)
	slices.SortFunc(ranked, func(a, b vaneyoke.DataCentreID) int { return byScore(key, string(a), string(b)) })
	var found []Peer
	for _, dataCentre := range ranked[:min(homes, len(ranked))] {
		found = append(found, v.best(key, dataCentre))
	}
	if len(found) == 1 && len(v.peers) > 1 {
		found = append(found, v.second(key, found[0].VM))
	}
	return found
}

// best returns the data centre's node with the highest score.
func (v *View) best(key string, dataCentre vaneyoke.DataCentreID) Peer {
	return v.bestOf(key, func(p Peer) bool { return p.DataCentre == dataCentre })
}

func (v *View) second(key string, first vaneyoke.VMID) Peer {
	return v.bestOf(key, func(p Peer) bool { return p.VM != first })
}

// Backup returns the node for all journals of an owner: one in another data centre, or else on another VM.
// An owner has one backup, so that what it pushes goes in few calls however many sessions it has.
func (v *View) Backup(owner Peer, avoid []vaneyoke.VMID) (Peer, bool) {
	key := string(owner.VM)
	usable := func(p Peer) bool { return p.VM != owner.VM && !slices.Contains(avoid, p.VM) }
	if p := v.bestOf(key, func(p Peer) bool { return usable(p) && p.DataCentre != owner.DataCentre }); p.VM != "" {
		return p, true
	}
	p := v.bestOf(key, usable)
	return p, p.VM != ""
}

func (v *View) bestOf(key string, usable func(Peer) bool) Peer {
	var found Peer
	var top uint64
	for _, p := range v.peers {
		if s := rendezvous.Score(key, string(p.VM)); usable(p) && (found.VM == "" || s > top) {
			found, top = p, s
		}
	}
	return found
}

func byScore(key, a, b string) int {
	return cmp.Compare(rendezvous.Score(key, b), rendezvous.Score(key, a))
}
