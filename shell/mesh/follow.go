package mesh

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// followerParam is the query parameter with the VM of the follower.
const followerParam = "vm"

var errPeerTimeout = errors.New("no frame received in time")

// followUntilLost applies the updates of a member until the connection is lost or ctx is done.
func (n *Node) followUntilLost(ctx context.Context, m feed.Member) {
	wasFresh, err := n.follow(ctx, m)
	if ctx.Err() != nil {
		return
	}
	n.log.WithFields(logrus.Fields{"peer": m.VM, "relied": wasFresh, "error": err}).Info("peer_lost")
	n.post(ctx, feed.SourceLost{From: m.VM})
}

// follow applies the updates of a member; wasFresh reports whether its tables were fresh at any time.
func (n *Node) follow(ctx context.Context, m feed.Member) (wasFresh bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	timeout := time.AfterFunc(n.config.PeerTimeout, func() { cancel(errPeerTimeout) })
	defer timeout.Stop()
	query := n.hub.heldQuery()
	query.Set(followerParam, string(n.self.VM))
	res, err := n.get(ctx, m, TablesPath+"?"+query.Encode())
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	defer n.neighbours.connected(m.VM, protocolOf(res.Header))()
	return n.readFrames(ctx, m, bufio.NewReader(res.Body), timeout, protocolOf(res.Header) >= feed.ProtocolRecords)
}

func (n *Node) get(ctx context.Context, m feed.Member, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Address+path, nil)
	if err != nil {
		return nil, err
	}
	setProtocol(req.Header)
	res, err := n.client.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, fmt.Errorf("unexpected HTTP status %d", res.StatusCode)
	}
	return res, nil
}

func (n *Node) readFrames(ctx context.Context, m feed.Member, r io.Reader, timeout *time.Timer, isExact bool) (wasFresh bool, err error) {
	for {
		p, err := readPacket(r)
		if err != nil {
			return wasFresh, err
		}
		f, err := p.unpack()
		if err != nil {
			return wasFresh, err
		}
		n.metrics.countReceived(len(p))
		n.hub.applyFrame(steady.Now(), f, p, isExact)
		timeout.Reset(n.config.PeerTimeout)
		if f.Status == nil {
			continue
		}
		wasFresh = wasFresh || f.Status.Complete && f.Status.decode().Age <= n.config.Feed.StaleAfter
		n.post(ctx, feed.StatusReceived{From: m.VM, Status: f.Status.decode()})
	}
}

// queryStatus asks a member for the status of its tables.
func (n *Node) queryStatus(ctx context.Context, m feed.Member) {
	n.metrics.countQuery()
	ctx, cancel := context.WithTimeout(ctx, n.config.PeerTimeout)
	defer cancel()
	status, err := n.requestStatus(ctx, m)
	n.log.WithFields(logrus.Fields{"peer": m.VM, "age_ms": status.AgeMs, "known": status.Complete, "reader": status.Reader, "error": err}).Info("peer_asked")
	if err == nil {
		n.post(ctx, feed.QueryAnswered{From: m, Status: status.decode()})
	}
}

func (n *Node) requestStatus(ctx context.Context, m feed.Member) (status tableStatus, err error) {
	res, err := n.get(ctx, m, AgePath)
	if err != nil {
		return status, err
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(res.Body, maxReceivedBytes)).Decode(&status)
	return status, err
}

// followerOf returns the VM of the follower; older builds do not send it.
func followerOf(query url.Values) string { return query.Get(followerParam) }
