package pinning

import (
	"slices"
	"time"

	"github.com/vaneyoke/vaneyoke"
)

const (
	holdersPerStream    = 5                      // nodes that keep a stream's record besides the one that serves it
	resendDelay         = 100 * time.Millisecond // until a record is sent again that was not acknowledged; it triples each time
	resendFactor        = 3
	maxSends            = 4                      // of a record to one node, until the next refresh
	substituteAfter     = 2                      // sends without an acknowledgement, after which another node gets the record, too
	refreshInterval     = 10 * time.Second       // after which a record is sent again to its holders, which may have restarted or changed
	unreplicatedRefresh = 250 * time.Millisecond // the same while no other node is known
)

// serving is the replication of the record of a stream that this node serves.
type serving struct {
	sessions  int // that serve it
	deadline  time.Time
	holders   []*holder
	refreshAt time.Time
	due       time.Time // of the next refresh, or of a record that was not acknowledged
}

// holder is a node that is to keep a record.
type holder struct {
	Member
	acked  bool
	sends  int
	resend time.Time
}

// begin keeps the record of a stream that this node serves, and sends it to its holders.
func (s *State) begin(now time.Time, ev StreamBegun) {
	begun := Record{Stream: ev.Stream, Software: ev.Software, Ambiguous: ev.VersionUnknown, Revision: ev.Revision, TTL: ev.Deadline.Sub(now)}
	r := s.keep(now, begun)
	v := s.serving[ev.Stream]
	if v == nil {
		v = &serving{}
		s.serving[ev.Stream] = v
	}
	v.sessions++
	if ev.Deadline.After(v.deadline) {
		v.deadline = ev.Deadline
	}
	if r == nil { // there are too many; the others may keep it
		r = &record{Record: begun}
	} else {
		r.isOwn = true
		s.archiveRecord(now, r)
	}
	s.refresh(now, v, r.Record)
}

// end ends the replication of a record once no session serves its stream; the record itself stays until it expires.
func (s *State) end(stream StreamID) {
	v := s.serving[stream]
	if v == nil {
		return
	}
	v.sessions--
	if v.sessions <= 0 {
		delete(s.serving, stream)
	}
}

// refresh sends a record to its holders, whoever held it before.
func (s *State) refresh(now time.Time, v *serving, r Record) {
	v.holders = v.holders[:0]
	for _, m := range s.rankMembers(r.Stream, holdersPerStream) {
		v.holders = append(v.holders, &holder{Member: m})
	}
	v.refreshAt = now.Add(refreshInterval)
	if len(v.holders) == 0 {
		v.refreshAt = now.Add(unreplicatedRefresh)
	}
	v.due = v.refreshAt
	s.schedule(v.due)
	for _, h := range v.holders {
		s.sendRecord(now, v, h, r)
	}
}

// sendRecord sends a record to a holder, and again later unless it is acknowledged.
func (s *State) sendRecord(now time.Time, v *serving, h *holder, r Record) {
	h.sends++
	delay := resendDelay
	for range h.sends - 1 {
		delay *= resendFactor
	}
	h.resend = now.Add(delay)
	s.scheduleResend(v, h)
	r.TTL = max(v.deadline.Sub(now), 0)
	s.sendTo(h.Address, Message{Records: []Record{r}})
}

// scheduleResend makes the stream's record due when it is to be sent to a holder again.
func (s *State) scheduleResend(v *serving, h *holder) {
	if h.resend.Before(v.due) {
		v.due = h.resend
	}
	s.schedule(h.resend)
}

// resendRecords sends the records again that are due, because they were not acknowledged or have to be refreshed.
func (s *State) resendRecords(now time.Time) {
	for stream, v := range s.serving {
		r := s.held(now, stream)
		if r == nil {
			continue // it was ended by its deadline
		}
		switch {
		case now.Before(v.due):
			s.schedule(v.due)
		case !now.Before(v.refreshAt):
			s.refresh(now, v, r.Record)
		default:
			v.due = v.refreshAt
			s.schedule(v.due)
			s.resendUnacked(now, v, r.Record)
		}
	}
}

// resendUnacked sends a record again to the holders that have not acknowledged it in time.
func (s *State) resendUnacked(now time.Time, v *serving, r Record) {
	for _, h := range v.holders { // without those that are added meanwhile
		if h.acked || h.sends >= maxSends {
			continue
		}
		if now.Before(h.resend) {
			s.scheduleResend(v, h)
			continue
		}
		if h.sends == substituteAfter {
			s.addHolder(now, v, r)
		}
		s.sendRecord(now, v, h, r)
	}
}

// addHolder sends a record to the next node in its order, in place of one that does not answer.
func (s *State) addHolder(now time.Time, v *serving, r Record) {
	if len(v.holders) >= 2*holdersPerStream {
		return
	}
	for _, m := range s.rankMembers(r.Stream, 2*holdersPerStream) {
		if !slices.ContainsFunc(v.holders, func(h *holder) bool { return h.VM == m.VM }) {
			h := &holder{Member: m}
			v.holders = append(v.holders, h)
			s.sendRecord(now, v, h, r)
			return
		}
	}
}

// noticeRestart sends a node that has restarted, perhaps at another address, the records that it is to keep for this one.
func (s *State) noticeRestart(now time.Time, m Message) {
	if known, isMember := s.peers[m.From]; !isMember || known == m.Incarnation {
		return
	}
	s.peers[m.From] = m.Incarnation
	for stream, v := range s.serving {
		i := slices.IndexFunc(v.holders, func(h *holder) bool { return h.VM == m.From && !h.hasRecord(m.Incarnation) })
		r := s.held(now, stream)
		if i < 0 || r == nil {
			continue
		}
		v.holders[i] = &holder{Member: Member{VM: m.From, DataCentre: v.holders[i].DataCentre, Address: m.Address}}
		s.sendRecord(now, v, v.holders[i], r.Record)
	}
}

// hasRecord reports whether an incarnation of a holder has acknowledged the record.
func (h *holder) hasRecord(incarnation vaneyoke.Incarnation) bool {
	return h.acked && h.Incarnation == incarnation
}

// acked records that a holder keeps a record.
func (s *State) acked(from Message, stream StreamID) {
	v := s.serving[stream]
	if v == nil {
		return
	}
	for _, h := range v.holders {
		if h.VM == from.From {
			h.acked, h.Incarnation = true, from.Incarnation
		}
	}
}
