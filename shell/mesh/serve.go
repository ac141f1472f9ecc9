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

// Handler returns the HTTP handler that serves the tables and their age to other nodes.
func (n *Node) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET "+TablesPath, n.serveTables)
	mux.HandleFunc("GET "+AgePath, n.serveAge)
	return mux
}

// serveTables streams the changes of the tables to a follower, with a status after each change and every HeartbeatInterval.
func (n *Node) serveTables(w http.ResponseWriter, r *http.Request) {
	setProtocol(w.Header())
	control := http.NewResponseController(w)
	held := parseHeldVersions(r.URL.Query())
	if follower := vaneyoke.VMID(followerOf(r.URL.Query())); follower != "" {
		defer n.neighbours.connected(follower, protocolOf(r.Header))()
		n.post(r.Context(), feed.FollowerAdded{VM: follower})
		defer n.post(context.WithoutCancel(r.Context()), feed.FollowerRemoved{VM: follower})
	}
	ticker := time.NewTicker(n.config.HeartbeatInterval)
	defer ticker.Stop()
	for {
		update, status, changed, err := n.hub.nextUpdate(steady.Now(), held)
		if err != nil {
			n.log.WithField("error", err).Error("frame_unwritable")
			return
		}
		_ = control.SetWriteDeadline(time.Now().Add(n.config.PeerTimeout))
		if err := errors.Join(n.writeFrames(w, update, status), control.Flush()); err != nil {
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

// writeFrames writes an update, unless it is nil, and the status of the tables.
func (n *Node) writeFrames(w io.Writer, update packet, status tableStatus) error {
	if update != nil {
		if err := update.writeTo(w); err != nil {
			return err
		}
	}
	p, err := pack(frame{Status: &status})
	if err != nil {
		return err
	}
	n.metrics.countSent(len(update), len(p))
	return p.writeTo(w)
}

// serveAge writes the status of the tables.
func (n *Node) serveAge(w http.ResponseWriter, _ *http.Request) {
	setProtocol(w.Header())
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(newTableStatus(n.hub.Status(steady.Now()))) // fails only if the client has disconnected
}
