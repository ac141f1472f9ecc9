package failover

import (
	"context"
	"expvar"
	"io"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
	"github.com/sirupsen/logrus"
	"go.opentelemetry.io/otel/trace/noop"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/cursor"
	"github.com/vaneyoke/vaneyoke/decide/generation"
	"github.com/vaneyoke/vaneyoke/decide/journal"
	"github.com/vaneyoke/vaneyoke/decide/membership"
	"github.com/vaneyoke/vaneyoke/shell/relay"
)

// twoNodes is a fleet of a node and the one that keeps its journals.
type twoNodes struct{}

func (twoNodes) View() *membership.View {
	return membership.NewView([]membership.Peer{{VM: "own", DataCentre: "a"}, {VM: "backup", DataCentre: "b"}})
}

func (twoNodes) Upstream(vaneyoke.UpstreamID) (vaneyoke.Upstream, bool) {
	return vaneyoke.Upstream{}, false
}

const mostTail = 4 // tokens that a cursor carries

// sessionOf returns a session with an answer, each letter of which is a token, whose backup has confirmed so many.
func sessionOf(text string, confirmed int) (*Manager, *session) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	r := relay.New(nil, nil, nil, noop.NewTracerProvider().Tracer(""), relay.NewMetrics(new(expvar.Map).Init()), log, relay.Config{Generation: generation.DefaultConfig()})
	m := New(vaneyoke.NodeID{VM: "own"}, "a", Config{AckTimeout: time.Hour, MaxTailIDs: mostTail}, cursor.NewKeyring("key"), nil, twoNodes{}, r, nil, NewMetrics(new(expvar.Map).Init()), log)
	saved := relay.Saved{
		Restored: generation.Restored{IDs: ids(text), Text: []byte(text)},
		Result:   &relay.Result{Ended: true, Code: vaneyoke.CodeInterrupted},
	}
	s := newSession(m, journal.Key{Key: "k"}, journal.Entry{Request: "r"}, r.Restore(context.Background(), &vaneyoke.Request{ID: "r", Continuable: true}, saved))
	s.acked = acked{ids: confirmed, text: confirmed, prompt: true}
	return m, m.add(s)
}

// TestCallerOfALeavingNodeHoldsNothingThatIsHeldNowhere reads an answer while the node leaves it to the next one.
//
// A node that stopped left its sessions in two steps: nothing of them was pushed any more, and then they ended. What was read between the two
// went out with a mark that named no backup and carried no tail, because a session without a push was taken for one without a backup. Its
// caller came back to another node, whose journal held less than the caller did: "82 answer_lost: the rest of the answer is no longer held".
// With 100 ms between the two steps 6 of 6 stops of a node with a stream did so.
func TestCallerOfALeavingNodeHoldsNothingThatIsHeldNowhere(t *testing.T) {
	cases := map[string]struct {
		text string
		tail string // in the cursor of what is read; "" where nothing may be read
	}{
		"the cursor carries what the backup lacks": {"abcde", "cde"},
		"the backup lacks more than that":          {"abcdefgh", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m, s := sessionOf(tc.text, 2)
				r, err := s.read("", nil)
				must.NoError(t, err)
				if tc.tail != "" {
					m.Release() // otherwise it comes while the reader waits for the backup
				}
				var piece Chunk
				var result relay.Result
				go func() { piece, result, err = r.Read(t.Context()) }()
				synctest.Wait()
				m.Release()
				synctest.Wait()
				must.NoError(t, err)
				if tc.tail == "" {
					must.SliceEmpty(t, piece.Text, must.Sprint("text that no node can go on from"))
					must.EqOp(t, vaneyoke.CodeInterrupted, result.Code)
					return
				}
				mark, err := m.ring.Decode(piece.Cursor)
				must.NoError(t, err)
				must.EqOp(t, "backup", string(mark.Backup))
				held := journal.Delta{IDs: ids(tc.text[:2]), Text: []byte(tc.text[:2])}
				must.True(t, mend(&held, &mark))
				must.EqOp(t, tc.text, string(held.Text))
				must.True(t, slices.Equal(ids(tc.tail), mark.TailIDs))
			})
		})
	}
}
