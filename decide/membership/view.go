package membership

import (
	"cmp"
	"slices"

	"github.com/samber/lo"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rendezvous"
)

// directoryReplicas is the number of nodes that know the owner of a session.
const directoryReplicas = 2

// Peer is a node, as described by the platform's list of VMs.
type Peer struct {
	VM         vaneyoke.VMID
	DataCentre vaneyoke.DataCentreID
	Address    string // IP address and port of the peer API
}

// View is the set of nodes that take part in storing journals.
type View struct {
	peers       []Peer
	dataCentres []vaneyoke.DataCentreID
}

// NewView returns a view of the given nodes, which include the local one.
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

// DirectoryPeers returns the nodes that know the owner of a session: one in each of two data centres, or, with a single data centre, up to
// two of its nodes. All nodes with the same view return the same ones, and a change of the view reassigns few sessions.
func (v *View) DirectoryPeers(key string) []Peer {
	ranked := slices.Clone(v.dataCentres)
	slices.SortFunc(ranked, func(a, b vaneyoke.DataCentreID) int { return byScore(key, string(a), string(b)) })
	var found []Peer
	for _, dataCentre := range ranked[:min(directoryReplicas, len(ranked))] {
		found = append(found, v.bestInDataCentre(key, dataCentre))
	}
	if len(found) == 1 && len(v.peers) > 1 {
		found = append(found, v.bestExcept(key, found[0].VM))
	}
	return found
}

// bestInDataCentre returns the data centre's node with the highest score.
func (v *View) bestInDataCentre(key string, dataCentre vaneyoke.DataCentreID) Peer {
	return v.bestOf(key, func(p Peer) bool { return p.DataCentre == dataCentre })
}

func (v *View) bestExcept(key string, first vaneyoke.VMID) Peer {
	return v.bestOf(key, func(p Peer) bool { return p.VM != first })
}

// Backup returns the node that stores all journals of an owner: one in another data centre, or else on another VM.
// An owner has a single backup, so that it can push the changes of many sessions in few calls.
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
