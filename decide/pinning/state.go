package pinning

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	maxRecords      = 1 << 14         // records in memory
	maxLookups      = 4096            // lookups under way
	minRecordTTL    = 5 * time.Second // after the deadline of a caller, whose clock may differ
	maxRecordTTL    = 30 * time.Minute
	maxAnnounced    = 64              // nodes that a starting node tells of its start; the others learn of it by its next message
	pruneInterval   = 5 * time.Second // between scans for expired records
	maxMessageBytes = 1200            // of the records in a message
)

// Listing tells which software versions are known.
type Listing interface {
	// Software returns the versions of services' upstreams that may have begun a stream, and for how long they have been watched; 0 if the list may be out
	// of date.
	Software(services []vaneyoke.ServiceID) (all []Software, watched time.Duration)
}

// State holds what a node knows of the software that began streams.
type State struct {
	self         Member
	listing      Listing
	members      []Member // without this node
	membersKnown bool
	peers        map[vaneyoke.VMID]vaneyoke.Incarnation // of the members, 0 for those that have not sent a message
	announced    bool                                   // whether this node has told others that it started
	records      map[StreamID]*record
	serving      map[StreamID]*serving
	lookups      map[LookupID]*lookup
	waiting      map[StreamID][]*lookup // the lookups by stream
	pruneAt      time.Time
	next         time.Time // when Tick is due; zero for not at all
	effects      []Effect
	refused      int
	archive      archive
}

// record is a record that this node keeps.
type record struct {
	Record
	expires       time.Time
	isOwn         bool      // whether this node served the stream
	archived      Record    // as it was last written to the store
	archivedUntil time.Time // when that expires
}

// New returns the state of a node that knows no streams.
func New(self Member, listing Listing) *State {
	return &State{
		self: self, listing: listing, peers: map[vaneyoke.VMID]vaneyoke.Incarnation{}, records: map[StreamID]*record{}, serving: map[StreamID]*serving{},
		lookups: map[LookupID]*lookup{}, waiting: map[StreamID][]*lookup{}, archive: newArchive(),
	}
}

// NextTick returns when Tick is due, the zero time for not at all.
func (s *State) NextTick() time.Time { return s.next }

// Stats describes the records of a node.
type Stats struct {
	Held    int // records in memory
	Serving int // streams that this node serves
	Unacked int // of these, those that no other node is known to hold a record of
	Refused int // records that were not kept because there were too many

	Archived     int // rows of this node in the store
	Unarchived   int // records that are to be written to the store
	FailedWrites int // transactions that failed
}

// Stats returns the figures of this node.
func (s *State) Stats() Stats {
	stats := Stats{
		Held: len(s.records), Serving: len(s.serving), Refused: s.refused,
		Archived: len(s.archive.written), Unarchived: len(s.archive.unwritten), FailedWrites: s.archive.failed,
	}
	for _, v := range s.serving {
		if !slices.ContainsFunc(v.holders, func(h *holder) bool { return h.acked }) {
			stats.Unacked++
		}
	}
	return stats
}

// Handle applies an event and returns the resulting effects; the slice is valid until the next call.
func (s *State) Handle(now time.Time, ev Event) []Effect {
	s.effects = s.effects[:0]
	switch ev := ev.(type) {
	case MembersUpdated:
		s.setMembers(now, ev.All)
	case StreamBegun:
		s.begin(now, ev)
	case StreamEnded:
		s.end(ev.Stream)
	case Lookup:
		s.startLookup(now, ev)
	case LookupCancelled:
		if l := s.lookups[ev.ID]; l != nil {
			s.drop(l)
		}
	case MessageReceived:
		s.receive(now, ev.Message)
	case VersionsMixed:
		s.setMixed(now, ev.Services)
	case RecordsWritten:
		s.recordsWritten(now, ev.OK)
	case RecordsRead:
		s.recordsRead(now, ev)
	case Tick:
		s.tick(now)
	}
	return s.effects
}

// setMembers replaces the members. Once this node knows them, it tells some that it has started, so that they send their records again.
func (s *State) setMembers(now time.Time, all []Member) {
	s.members, s.membersKnown = make([]Member, 0, len(all)), true
	peers := map[vaneyoke.VMID]vaneyoke.Incarnation{}
	for _, m := range all {
		if m.VM == s.self.VM || m.Address == "" {
			continue
		}
		s.members = append(s.members, m)
		peers[m.VM] = s.peers[m.VM]
	}
	s.peers = peers
	if !s.announced && len(s.members) > 0 {
		s.announced = true
		for _, m := range s.rankMembers(StreamID(s.self.VM), maxAnnounced) {
			s.sendTo(m.Address, Message{})
		}
	}
	for _, l := range s.lookups {
		s.advance(now, l)
	}
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// schedule makes the next tick due at the given time at the latest.
func (s *State) schedule(at time.Time) {
	if s.next.IsZero() || at.Before(s.next) {
		s.next = at
	}
}

func (s *State) tick(now time.Time) {
	s.next = time.Time{}
	if !s.pruneAt.IsZero() && !now.Before(s.pruneAt) {
		s.prune(now)
	}
	if !s.pruneAt.IsZero() {
		s.schedule(s.pruneAt)
	}
	s.resendRecords(now)
	s.writeRows(now)
	for _, l := range s.lookups {
		s.advance(now, l)
	}
}

// keep keeps a record, and returns it as it is kept; nil if there are too many.
func (s *State) keep(now time.Time, r Record) *record {
	expires := now.Add(min(max(r.TTL, 0)+minRecordTTL, maxRecordTTL))
	kept := s.records[r.Stream]
	if kept != nil && now.Before(kept.expires) {
		kept.merge(r)
		kept.expires = later(kept.expires, expires)
		return kept
	}
	if kept == nil && len(s.records) >= maxRecords {
		s.prune(now)
		if len(s.records) >= maxRecords {
			s.refused++
			return nil
		}
	}
	if kept != nil {
		s.forgetRow(now, r.Stream)
	}
	kept = &record{Record: r, expires: expires}
	s.records[r.Stream] = kept
	if s.pruneAt.IsZero() {
		s.pruneAt = now.Add(pruneInterval)
	}
	s.schedule(s.pruneAt)
	return kept
}

// merge adds another record of the same stream.
func (r *record) merge(other Record) {
	switch {
	case other.Revision > r.Revision:
		r.Software, r.Ambiguous, r.Revision = other.Software, other.Ambiguous, other.Revision
	case other.Revision == r.Revision:
		r.Ambiguous = r.Ambiguous || other.Ambiguous || r.Software != other.Software
	}
}

// held returns a record that has not expired; nil if there is none.
func (s *State) held(now time.Time, stream StreamID) *record {
	r := s.records[stream]
	if r == nil || !now.Before(r.expires) {
		return nil
	}
	return r
}

func (s *State) prune(now time.Time) {
	for stream, r := range s.records {
		if !now.Before(r.expires) {
			delete(s.records, stream)
			s.forgetRow(now, stream)
		}
	}
	s.pruneAt = time.Time{}
	if len(s.records) > 0 {
		s.pruneAt = now.Add(pruneInterval)
	}
}

// sendTo sends a message. Records to the same node that are sent at the same time share messages.
func (s *State) sendTo(address string, m Message) {
	for i := range s.effects {
		sent, ok := s.effects[i].(Send)
		if ok && sent.To == address && sizeOf(sent.Message)+sizeOf(m) <= maxMessageBytes {
			sent.Message.Records = append(sent.Message.Records, m.Records...)
			sent.Message.Acks = append(sent.Message.Acks, m.Acks...)
			sent.Message.Queries = append(sent.Message.Queries, m.Queries...)
			sent.Message.Replies = append(sent.Message.Replies, m.Replies...)
			s.effects[i] = sent
			return
		}
	}
	m.From, m.Address, m.Incarnation = s.self.VM, s.self.Address, s.self.Incarnation
	s.emit(Send{To: address, Message: m})
}

// receive handles a message of another node.
func (s *State) receive(now time.Time, m Message) {
	if m.From == s.self.VM || m.From == "" || m.Address == "" {
		return
	}
	for _, stream := range m.Acks {
		s.acked(m, stream)
	}
	s.noticeRestart(now, m)
	for _, r := range m.Records {
		if s.keep(now, r) != nil {
			s.sendTo(m.Address, Message{Acks: []StreamID{r.Stream}})
		}
	}
	for _, q := range m.Queries {
		s.sendTo(m.Address, Message{Replies: []Reply{s.reply(now, q)}})
	}
	for _, r := range m.Replies {
		s.receiveReply(now, m.From, r)
	}
}

// reply returns what this node knows of a stream.
func (s *State) reply(now time.Time, q Query) Reply {
	if r := s.held(now, q.Stream); r != nil {
		kept := r.Record
		kept.TTL = r.expires.Sub(now)
		return Reply{Stream: q.Stream, Record: kept}
	}
	candidates, watched := s.listing.Software(q.Services)
	return Reply{Stream: q.Stream, Candidates: candidates[:min(len(candidates), maxCandidates)], Watched: watched}
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}
