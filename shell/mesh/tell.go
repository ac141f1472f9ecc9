package mesh

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"time"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// Handler returns the handler by which the node tells its tables to others.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+Path, n.tell)
	mux.HandleFunc("GET "+AgePath, n.tellAge)
	return mux
}

// tell writes what has changed at each change, and how old the tables are then and now and then.
func (n *Node) tell(w http.ResponseWriter, r *http.Request) {
	setDialect(w.Header())
	control := http.NewResponseController(w)
	before := toldOf(r.URL.Query())
	if by := vaneyoke.VMID(followerOf(r.URL.Query())); by != "" {
		defer n.neighbours.met(by, dialectOf(r.Header))()
		n.post(r.Context(), feed.FollowerAdded{VM: by})
		defer n.post(context.WithoutCancel(r.Context()), feed.FollowerRemoved{VM: by})
	}
	ticker := time.NewTicker(n.config.Beat)
	defer ticker.Stop()
	for {
		update, b, changed, err := n.hub.next(steady.Now(), before)
		if err != nil {
			n.log.WithField("error", err).Error("frame_unwritable")
			return
		}
		_ = control.SetWriteDeadline(time.Now().Add(n.config.Stall))
		if err := errors.Join(n.writeFrames(w, update, b), control.Flush()); err != nil {
			return
		}
		select {
		case <-r.Context().Done():
			return
		case <-changed:
		case <-ticker.C:
		}
	}
}

// writeFrames writes an update, where there is one, and how old the tables are.
func (n *Node) writeFrames(w io.Writer, update packet, b beat) error {
	if update != nil {
		if err := update.writeTo(w); err != nil {
			return err
		}
	}
	p, err := pack(frame{Beat: &b})
	if err != nil {
		return err
	}
	n.metrics.told(len(update), len(p))
	return p.writeTo(w)
}

// tellAge tells how old the tables are.
func (n *Node) tellAge(w http.ResponseWriter, _ *http.Request) {
	setDialect(w.Header())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(beatOf(n.hub.Word(steady.Now()))) // a node that is gone needs no answer
}
