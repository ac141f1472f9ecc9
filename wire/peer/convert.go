package peer

import (
	"github.com/samber/lo"
	"google.golang.org/protobuf/proto"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/wire/peer/peerpb"
)

func keyToWire(k journal.Key) *peerpb.Key {
	return &peerpb.Key{Workspace: string(k.Workspace), Key: k.Key}
}

func keyFromWire(k *peerpb.Key) journal.Key {
	return journal.Key{Workspace: vaneyoke.WorkspaceID(k.GetWorkspace()), Key: k.GetKey()}
}

func nodeToWire(n vaneyoke.NodeID) *peerpb.Node {
	return &peerpb.Node{Vm: string(n.VM), Incarnation: uint64(n.Incarnation)}
}

func nodeFromWire(n *peerpb.Node) vaneyoke.NodeID {
	return vaneyoke.NodeID{VM: vaneyoke.VMID(n.GetVm()), Incarnation: vaneyoke.Incarnation(n.GetIncarnation())}
}

func entryToWire(e journal.Entry) *peerpb.Entry {
	return &peerpb.Entry{
		Request:    string(e.Request),
		Owner:      nodeToWire(e.Owner),
		Epoch:      uint64(e.Epoch),
		BodyDigest: []byte(e.BodyDigest),
		Backup:     string(e.Backup),
	}
}

func entryFromWire(e *peerpb.Entry) journal.Entry {
	return journal.Entry{
		Request:    vaneyoke.RequestID(e.GetRequest()),
		Owner:      nodeFromWire(e.GetOwner()),
		Epoch:      journal.Epoch(e.GetEpoch()),
		BodyDigest: string(e.GetBodyDigest()),
		Backup:     vaneyoke.VMID(e.GetBackup()),
	}
}

func deltaToWire(d journal.Delta) *peerpb.Delta {
	wire := &peerpb.Delta{
		Handle:   d.Handle.Number,
		From:     int64(d.From),
		TextFrom: int64(d.TextFrom),
		Ids:      idsToWire(d.IDs),
		Text:     d.Text,
		Prompt:   idsToWire(d.Prompt),
	}
	if d.Key != (journal.Key{}) {
		wire.Key, wire.Entry = keyToWire(d.Key), entryToWire(d.Entry)
	}
	if s := d.Stream; s != nil {
		wire.Stream = &peerpb.Stream{Name: s.Name, Upstream: string(s.Upstream), Base: int64(s.Base), Version: versionToWire(s.Pin)}
	}
	if r := d.Result; r != nil {
		wire.Result = &peerpb.Result{
			Code: int32(r.Code), Detail: r.Detail, Reason: string(r.Reason),
			Status: int32(r.Status), MediaType: r.MediaType, Body: r.Body,
		}
	}
	return wire
}

// versionToWire returns the version to which an answer is pinned, nil if it is not.
func versionToWire(p vaneyoke.Pin) *string {
	if !p.IsSet || p.VersionUnknown {
		return nil
	}
	version := string(p.Version)
	return &version
}

func pinFromWire(s *peerpb.Stream) vaneyoke.Pin {
	if s.Version == nil {
		return vaneyoke.Pin{}
	}
	return vaneyoke.Pin{IsSet: true, Version: vaneyoke.SoftwareVersion(s.GetVersion())}
}

func deltaFromWire(wire *peerpb.Delta, sender vaneyoke.NodeID) journal.Delta {
	d := journal.Delta{
		Handle:   journal.Handle{Owner: sender, Number: wire.GetHandle()},
		From:     vaneyoke.Tokens(max(wire.GetFrom(), 0)),
		TextFrom: int(max(wire.GetTextFrom(), 0)),
		IDs:      idsFromWire(wire.GetIds()),
		Text:     wire.GetText(),
		Prompt:   idsFromWire(wire.GetPrompt()),
	}
	if wire.GetKey() != nil {
		d.Key, d.Entry = keyFromWire(wire.GetKey()), entryFromWire(wire.GetEntry())
	}
	if s := wire.GetStream(); s != nil {
		d.Stream = &journal.Stream{Name: s.GetName(), Upstream: vaneyoke.UpstreamID(s.GetUpstream()), Base: vaneyoke.Tokens(s.GetBase()), Pin: pinFromWire(s)}
	}
	if r := wire.GetResult(); r != nil {
		d.Result = &journal.Result{
			Code: vaneyoke.Code(r.GetCode()), Detail: r.GetDetail(), Reason: vaneyoke.FinishReason(r.GetReason()),
			Status: int(r.GetStatus()), MediaType: r.GetMediaType(), Body: r.GetBody(),
		}
	}
	return d
}

func idsToWire(ids []vaneyoke.TokenID) []int32 {
	return lo.Map(ids, func(id vaneyoke.TokenID, _ int) int32 { return int32(id) })
}

func idsFromWire(ids []int32) []vaneyoke.TokenID {
	if len(ids) == 0 {
		return nil
	}
	return lo.Map(ids, func(id int32, _ int) vaneyoke.TokenID { return vaneyoke.TokenID(id) })
}

// DeltaToWire returns the protobuf message of a delta.
func DeltaToWire(d journal.Delta) *peerpb.Delta { return deltaToWire(d) }

// ParseDelta decodes a pushed delta. It returns an empty delta if raw is malformed.
func ParseDelta(raw []byte) journal.Delta {
	var wire peerpb.Delta
	if err := proto.Unmarshal(raw, &wire); err != nil {
		return journal.Delta{}
	}
	return deltaFromWire(&wire, vaneyoke.NodeID{})
}
