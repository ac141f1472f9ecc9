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

// followerKey names in a query the VM of the node that follows.
const followerKey = "vm"

var errStalled = errors.New("no word in time")

// followUntilLost takes in what a member tells until it is lost or ctx ends.
func (n *Node) followUntilLost(ctx context.Context, m feed.Member) {
	relied, err := n.follow(ctx, m)
	if ctx.Err() != nil {
		return
	}
	n.log.WithFields(logrus.Fields{"peer": m.VM, "relied": relied, "error": err}).Info("peer_lost")
	n.post(ctx, feed.SourceLost{From: m.VM})
}

// follow takes in what a member tells; relied says whether its tables ever were not old.
func (n *Node) follow(ctx context.Context, m feed.Member) (relied bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(n.config.Stall, func() { cancel(errStalled) })
	defer stall.Stop()
	query := n.hub.held()
	query.Set(followerKey, string(n.self.VM))
	res, err := n.get(ctx, m, Path+"?"+query.Encode())
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	defer n.neighbours.met(m.VM, dialectOf(res.Header))()
	return n.takeFrames(ctx, m, bufio.NewReader(res.Body), stall)
}

func (n *Node) get(ctx context.Context, m feed.Member, path string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Address+path, nil)
	if err != nil {
		return nil, err
	}
	setDialect(req.Header)
	res, err := n.client.Do(req)
	if err != nil {
		return nil, err
	}
	if res.StatusCode != http.StatusOK {
		_ = res.Body.Close()
		return nil, fmt.Errorf("status %d", res.StatusCode)
	}
	return res, nil
}

func (n *Node) takeFrames(ctx context.Context, m feed.Member, r io.Reader, stall *time.Timer) (relied bool, err error) {
	for {
		p, err := readPacket(r)
		if err != nil {
			return relied, err
		}
		f, err := p.unpack()
		if err != nil {
			return relied, err
		}
		n.metrics.took(len(p))
		n.hub.take(steady.Now(), f, p)
		stall.Reset(n.config.Stall)
		if f.Beat == nil {
			continue
		}
		relied = relied || f.Beat.Known && f.Beat.word().Age <= n.config.Feed.StaleAfter
		n.post(ctx, feed.StatusReceived{From: m.VM, Status: f.Beat.word()})
	}
}

// ask asks a member how old its tables are.
func (n *Node) ask(ctx context.Context, m feed.Member) {
	n.metrics.asked()
	ctx, cancel := context.WithTimeout(ctx, n.config.Stall)
	defer cancel()
	b, err := n.askAge(ctx, m)
	n.log.WithFields(logrus.Fields{"peer": m.VM, "age_ms": b.AgeMs, "known": b.Known, "reader": b.Reader, "error": err}).Info("peer_asked")
	if err == nil {
		n.post(ctx, feed.QueryAnswered{From: m, Status: b.word()})
	}
}

func (n *Node) askAge(ctx context.Context, m feed.Member) (b beat, err error) {
	res, err := n.get(ctx, m, AgePath)
	if err != nil {
		return b, err
	}
	defer func() { _ = res.Body.Close() }()
	err = json.NewDecoder(io.LimitReader(res.Body, maxOfferBytes)).Decode(&b)
	return b, err
}

// followerOf returns the VM of the node that follows, which older nodes do not name.
func followerOf(query url.Values) string { return query.Get(followerKey) }
