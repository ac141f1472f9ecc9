package pinning

import (
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/protofield"
)

// The numbers of the fields on the wire, in the encoding of protocol buffers. Fields are added under new numbers; none changes its meaning.
const (
	fieldFrom        = 1
	fieldAddress     = 2
	fieldRecord      = 3 // repeated, as are the next three
	fieldAck         = 4
	fieldQuery       = 5
	fieldReply       = 6
	fieldIncarnation = 7

	fieldStream    = 1 // of a record, a query and a reply
	fieldService   = 2 // of a record and a candidate; repeated in a query
	fieldVersion   = 3
	fieldTTL       = 4 // in ms
	fieldAmbiguous = 5
	fieldRevision  = 6

	fieldHeld      = 2 // of a reply
	fieldCandidate = 3 // repeated
	fieldWatched   = 4 // in ms
)

const (
	maxItems     = 256 // of a kind in a message
	maxRevision  = 1 << 20
	maxNameBytes = 200 // of a service, a version, a VM or an address, as of the store's keys
	maxWireMs    = uint64(24 * time.Hour / time.Millisecond)
	itemOverhead = 24 // bytes of tags, lengths and numbers of an item
)

// sizeOf returns the size of a message's items on the wire, at most.
func sizeOf(m Message) int {
	size := 0
	for i := range m.Records {
		size += itemOverhead + len(m.Records[i].Stream) + m.Records[i].Software.size()
	}
	for _, stream := range m.Acks {
		size += itemOverhead + len(stream)
	}
	for _, q := range m.Queries {
		size += itemOverhead + len(q.Stream)
		for _, service := range q.Services {
			size += itemOverhead + len(service)
		}
	}
	for i := range m.Replies {
		r := &m.Replies[i]
		size += itemOverhead + len(r.Stream) + len(r.Record.Stream) + r.Record.Software.size()
		for _, c := range r.Candidates {
			size += itemOverhead + c.size()
		}
	}
	return size
}

func (s Software) size() int { return len(s.Service) + len(s.Version) }

// Encode returns a message as it is sent.
func Encode(m Message) []byte {
	b := protofield.AppendString(nil, fieldFrom, string(m.From))
	b = protofield.AppendString(b, fieldAddress, m.Address)
	b = protofield.AppendNumber(b, fieldIncarnation, uint64(m.Incarnation))
	for _, r := range m.Records {
		b = protofield.AppendBytes(b, fieldRecord, appendRecord(nil, r))
	}
	for _, stream := range m.Acks {
		b = protofield.AppendString(b, fieldAck, string(stream))
	}
	for _, q := range m.Queries {
		query := protofield.AppendString(nil, fieldStream, string(q.Stream))
		for _, service := range q.Services {
			query = protofield.AppendString(query, fieldService, string(service))
		}
		b = protofield.AppendBytes(b, fieldQuery, query)
	}
	for i := range m.Replies {
		b = protofield.AppendBytes(b, fieldReply, appendReply(nil, &m.Replies[i]))
	}
	return b
}

func appendRecord(b []byte, r Record) []byte {
	b = protofield.AppendString(b, fieldStream, string(r.Stream))
	b = appendSoftware(b, r.Software)
	b = protofield.AppendCount(b, fieldTTL, r.TTL.Milliseconds())
	if r.Ambiguous {
		b = protofield.AppendNumber(b, fieldAmbiguous, 1)
	}
	return protofield.AppendCount(b, fieldRevision, int64(r.Revision))
}

func appendSoftware(b []byte, s Software) []byte {
	b = protofield.AppendString(b, fieldService, string(s.Service))
	return protofield.AppendString(b, fieldVersion, string(s.Version))
}

func appendReply(b []byte, r *Reply) []byte {
	b = protofield.AppendString(b, fieldStream, string(r.Stream))
	if r.Record.Stream != "" {
		b = protofield.AppendBytes(b, fieldHeld, appendRecord(nil, r.Record))
	}
	for _, c := range r.Candidates {
		b = protofield.AppendBytes(b, fieldCandidate, appendSoftware(nil, c))
	}
	return protofield.AppendCount(b, fieldWatched, r.Watched.Milliseconds())
}

// Decode reads a message that was received. Unknown fields and invalid items are ignored, as are items beyond the most that a message has.
func Decode(data []byte) (Message, error) {
	var m Message
	err := protofield.Each(data, func(field int, number uint64, bytes []byte) error {
		switch field {
		case fieldIncarnation:
			m.Incarnation = vaneyoke.Incarnation(number)
		case fieldFrom:
			m.From = vaneyoke.VMID(bytes)
		case fieldAddress:
			m.Address = string(bytes)
		case fieldRecord:
			r, err := decodeRecord(bytes)
			m.Records = appendValid(m.Records, r, r.isValid())
			return err
		case fieldAck:
			m.Acks = appendValid(m.Acks, StreamID(bytes), StreamID(bytes).isValid())
		case fieldQuery:
			q, err := decodeQuery(bytes)
			m.Queries = appendValid(m.Queries, q, q.Stream.isValid())
			return err
		case fieldReply:
			r, err := decodeReply(bytes)
			m.Replies = appendValid(m.Replies, r, r.Stream.isValid() && (r.Record.Stream == "" || r.Record.isValid()))
			return err
		}
		return nil
	})
	if err == nil && (!isName(string(m.From)) || !isName(m.Address)) {
		err = protofield.ErrMalformed
	}
	return m, err
}

// appendValid appends an item if it is valid and there are not too many.
func appendValid[T any](items []T, item T, isValid bool) []T {
	if !isValid || len(items) >= maxItems {
		return items
	}
	return append(items, item)
}

func isName(text string) bool { return text != "" && len(text) <= maxNameBytes }

func (s StreamID) isValid() bool { return isName(string(s)) }

func (s Software) isValid() bool {
	return isName(string(s.Service)) && len(s.Version) <= maxNameBytes // an upstream may state no version
}

func (r Record) isValid() bool { return r.Stream.isValid() && r.Software.isValid() }

func decodeRecord(data []byte) (Record, error) {
	var r Record
	err := protofield.Each(data, func(field int, number uint64, bytes []byte) error {
		switch field {
		case fieldStream:
			r.Stream = StreamID(bytes)
		case fieldService:
			r.Software.Service = vaneyoke.ServiceID(bytes)
		case fieldVersion:
			r.Software.Version = vaneyoke.SoftwareVersion(bytes)
		case fieldTTL:
			r.TTL = durationOf(number)
		case fieldAmbiguous:
			r.Ambiguous = number != 0
		case fieldRevision:
			r.Revision = int(min(number, maxRevision)) //nolint:gosec // bounded
		}
		return nil
	})
	return r, err
}

func decodeQuery(data []byte) (Query, error) {
	var q Query
	err := protofield.Each(data, func(field int, _ uint64, bytes []byte) error {
		switch field {
		case fieldStream:
			q.Stream = StreamID(bytes)
		case fieldService:
			q.Services = appendValid(q.Services, vaneyoke.ServiceID(bytes), isName(string(bytes)))
		}
		return nil
	})
	return q, err
}

func decodeReply(data []byte) (Reply, error) {
	var r Reply
	err := protofield.Each(data, func(field int, number uint64, bytes []byte) error {
		switch field {
		case fieldStream:
			r.Stream = StreamID(bytes)
		case fieldHeld:
			record, err := decodeRecord(bytes)
			r.Record = record
			return err
		case fieldCandidate:
			candidate, err := decodeRecord(bytes) // its fields are those of a record
			r.Candidates = appendValid(r.Candidates, candidate.Software, candidate.Software.isValid())
			return err
		case fieldWatched:
			r.Watched = durationOf(number)
		}
		return nil
	})
	return r, err
}

// durationOf returns a duration of the wire, at most a day.
func durationOf(ms uint64) time.Duration {
	return time.Duration(min(ms, maxWireMs)) * time.Millisecond //nolint:gosec // at most a day
}
