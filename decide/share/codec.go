package share

import (
	"encoding/binary"
	"math"
	"math/bits"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/protofield"
)

// The numbers of the fields on the wire, in the encoding of protocol buffers. Fields are added under new numbers; none changes its meaning.
const (
	fieldName = 1 // of the sender, the service or the workspace

	fieldSequence = 2
	fieldDown     = 3
	fieldRoot     = 4
	fieldAge      = 5 // in ms
	fieldHeight   = 6
	fieldNodes    = 7
	fieldService  = 8 // repeated
	fieldAcked    = 9

	fieldUrgency   = 2 // repeated
	fieldWorkspace = 3 // repeated
	fieldOthers    = 4
	fieldActive    = 5
	fieldSketch    = 6
	fieldOverused  = 7 // per workspace four bytes of its hash and two of the ratio in hundredths, big-endian

	fieldRank     = 1 // of an urgency, in place of a name
	fieldOffered  = 2
	fieldAdmitted = 3
	fieldWaiting  = 4
	fieldRejected = 5
)

const (
	overuseBytes = 6
	hundredths   = 100
)

// Encode returns a summary as it is sent.
func Encode(s Summary) []byte {
	b := protofield.AppendString(nil, fieldName, string(s.From))
	b = protofield.AppendNumber(b, fieldSequence, s.Sequence)
	if s.Down {
		b = protofield.AppendNumber(b, fieldDown, 1)
	}
	b = protofield.AppendNumber(b, fieldRoot, uint64(s.Root))
	b = protofield.AppendCount(b, fieldAge, s.Age.Milliseconds())
	b = protofield.AppendCount(b, fieldHeight, int64(s.Height))
	b = protofield.AppendCount(b, fieldNodes, int64(s.Nodes))
	b = protofield.AppendNumber(b, fieldAcked, s.Acked)
	for i := range s.Services {
		b = protofield.AppendBytes(b, fieldService, appendService(nil, &s.Services[i]))
	}
	return b
}

func appendService(b []byte, s *ServiceShare) []byte {
	b = protofield.AppendString(b, fieldName, string(s.Service))
	for _, u := range s.Urgencies {
		b = protofield.AppendBytes(b, fieldUrgency, appendFlow(protofield.AppendCount(nil, fieldRank, int64(u.Urgency)), u.Flow))
	}
	for _, w := range s.Workspaces {
		b = protofield.AppendBytes(b, fieldWorkspace, appendFlow(protofield.AppendString(nil, fieldName, string(w.Workspace)), w.Flow))
	}
	if s.Others != (Flow{}) {
		b = protofield.AppendBytes(b, fieldOthers, appendFlow(nil, s.Others))
	}
	b = protofield.AppendCount(b, fieldActive, int64(s.Active))
	if s.Sketch != (Sketch{}) {
		b = protofield.AppendBytes(b, fieldSketch, s.Sketch[:])
	}
	if len(s.Overused) > 0 {
		var packed []byte
		for _, o := range s.Overused {
			packed = binary.BigEndian.AppendUint32(packed, uint32(o.Workspace))
			packed = binary.BigEndian.AppendUint16(packed, uint16(max(0, min(o.Ratio*hundredths, math.MaxUint16))))
		}
		b = protofield.AppendBytes(b, fieldOverused, packed)
	}
	return b
}

func appendFlow(b []byte, f Flow) []byte {
	f = f.clamped()
	b = protofield.AppendNumber(b, fieldOffered, round(uint64(f.Offered)))      //nolint:gosec // not negative
	b = protofield.AppendNumber(b, fieldAdmitted, round(uint64(f.Admitted)))    //nolint:gosec // not negative
	b = protofield.AppendNumber(b, fieldWaiting, round(uint64(f.Waiting)))      //nolint:gosec // not negative
	return protofield.AppendNumber(b, fieldRejected, round(uint64(f.Rejected))) //nolint:gosec // not negative
}

// mantissaBits is the precision of the amounts in flows, which are sent in at most two bytes.
const mantissaBits = 8

// round returns an amount as a floating-point number with an exponent above its mantissa; small amounts stay as they are.
func round(n uint64) uint64 {
	shift := max(0, bits.Len64(n)-mantissaBits-1)
	if shift == 0 {
		return n
	}
	rounded := (n + 1<<(shift-1)) >> shift // from 1<<mantissaBits to 2<<mantissaBits
	return uint64(shift)<<mantissaBits + rounded
}

// amount returns the amount that round has encoded, at most maxFlow.
func amount(code uint64) int {
	shift := max(1, code>>mantissaBits) - 1
	if shift > 40 {
		return maxFlow
	}
	return count((code-shift<<mantissaBits)<<shift, maxFlow)
}

// Decode reads a summary that was received. Unknown fields and entries without a valid name are ignored, as are entries beyond the most that a
// summary has, and counts are clamped.
func Decode(data []byte) (Summary, error) {
	var s Summary
	err := protofield.Each(data, func(field int, number uint64, bytes []byte) error {
		switch field {
		case fieldName:
			s.From = vaneyoke.VMID(bytes)
		case fieldSequence:
			s.Sequence = number
		case fieldDown:
			s.Down = number != 0
		case fieldRoot:
			s.Root = Hash(min(number, math.MaxUint32)) //nolint:gosec // at most 32 bits
		case fieldAge:
			s.Age = time.Duration(count(number, math.MaxInt32)) * time.Millisecond
		case fieldHeight:
			s.Height = count(number, maxHeight)
		case fieldNodes:
			s.Nodes = count(number, maxNodes)
		case fieldAcked:
			s.Acked = number
		case fieldService:
			return s.decodeService(bytes)
		}
		return nil
	})
	if err == nil && !validName(s.From) {
		err = protofield.ErrMalformed
	}
	return s, err
}

func (s *Summary) decodeService(data []byte) error {
	var service ServiceShare
	err := protofield.Each(data, func(field int, number uint64, bytes []byte) error {
		switch field {
		case fieldName:
			service.Service = vaneyoke.ServiceID(bytes)
		case fieldUrgency:
			return service.decodeUrgency(bytes)
		case fieldWorkspace:
			return service.decodeWorkspace(bytes)
		case fieldOthers:
			_, _, flow, err := decodeFlow(bytes)
			service.Others = flow
			return err
		case fieldActive:
			service.Active = count(number, maxFlow)
		case fieldOverused:
			service.decodeOverused(bytes)
		case fieldSketch:
			copy(service.Sketch[:], bytes)
		}
		return nil
	})
	if err == nil && validName(service.Service) && len(s.Services) < maxServices {
		s.Services = append(s.Services, service)
	}
	return err
}

func (s *ServiceShare) decodeUrgency(data []byte) error {
	urgency, _, flow, err := decodeFlow(data)
	if err == nil && urgency <= maxUrgency && len(s.Urgencies) < maxUrgencies {
		s.Urgencies = append(s.Urgencies, UrgencyFlow{Urgency(urgency), flow}) //nolint:gosec // at most maxUrgency
	}
	return err
}

func (s *ServiceShare) decodeWorkspace(data []byte) error {
	_, name, flow, err := decodeFlow(data)
	if err == nil && validName(name) && len(s.Workspaces) < maxWorkspaces {
		s.Workspaces = append(s.Workspaces, WorkspaceFlow{vaneyoke.WorkspaceID(name), flow})
	}
	return err
}

func (s *ServiceShare) decodeOverused(data []byte) {
	for ; len(data) >= overuseBytes && len(s.Overused) < maxOverused; data = data[overuseBytes:] {
		s.Overused = append(s.Overused, Overuse{Hash(binary.BigEndian.Uint32(data)), float64(binary.BigEndian.Uint16(data[4:])) / hundredths})
	}
}

// decodeFlow returns a flow and its key, which is a number or a name.
func decodeFlow(data []byte) (key uint64, name string, flow Flow, err error) {
	err = protofield.Each(data, func(field int, number uint64, bytes []byte) error {
		switch field {
		case fieldName: // or fieldRank
			key, name = number, string(bytes)
		case fieldOffered:
			flow.Offered = vaneyoke.Tokens(amount(number))
		case fieldAdmitted:
			flow.Admitted = vaneyoke.Tokens(amount(number))
		case fieldWaiting:
			flow.Waiting = vaneyoke.Tokens(amount(number))
		case fieldRejected:
			flow.Rejected = amount(number)
		}
		return nil
	})
	return key, name, flow, err
}

// count returns a count of the wire, at most a given one.
func count(number, most uint64) int { return int(min(number, most)) } //nolint:gosec // at most maxFlow
