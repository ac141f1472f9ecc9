package mesh

import (
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
)

// BorrowPath is the HTTP path at which a node lends a retry to another.
const BorrowPath = "/retries/borrow"

const (
	maxLenders    = 3                      // nodes that are asked in turn for a retry
	lenderTimeout = 60 * time.Millisecond  // timeout of one request
	refusalPause  = 500 * time.Millisecond // time without requests after all of them refused
	serviceKey    = "service"
)

// Lender lets nodes lend retries to one another. Otherwise the share of a node could be too small for its failures while other shares of the
// fleet's retry budget stay unused. A lent retry is charged to the lender, so the total budget stays the same.
type Lender struct {
	node    *Node
	lend    func(vaneyoke.ServiceID) bool
	timeout time.Duration // of one request

	mu        sync.Mutex
	notBefore map[vaneyoke.ServiceID]time.Time // end of the pause after a refusal
}

// NewLender returns a lender for the members of the mesh; lend takes a retry from this node's budget.
func NewLender(node *Node, lend func(vaneyoke.ServiceID) bool) *Lender {
	return &Lender{node: node, lend: lend, timeout: lenderTimeout, notBefore: map[vaneyoke.ServiceID]time.Time{}}
}

// ServeHTTP lends a retry: status 200, or 409 if none is left.
func (l *Lender) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if l.lend(vaneyoke.ServiceID(r.URL.Query().Get(serviceKey))) {
		l.node.metrics.countLent()
		return
	}
	w.WriteHeader(http.StatusConflict)
}

// Borrow reports whether another node lent a retry for a service.
func (l *Lender) Borrow(ctx context.Context, service vaneyoke.ServiceID) bool {
	if !l.mayBorrow(time.Now(), service) {
		return false
	}
	for _, m := range l.node.randomPeers(maxLenders) {
		if l.requestRetry(ctx, m, service) {
			l.node.metrics.countBorrowed()
			l.node.log.WithFields(logrus.Fields{"peer": m.VM, "service": service}).Info("retry_borrowed")
			return true
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notBefore[service] = time.Now().Add(refusalPause)
	l.node.log.WithField("service", service).Info("retry_not_lent")
	return false
}

func (l *Lender) mayBorrow(now time.Time, service vaneyoke.ServiceID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return !now.Before(l.notBefore[service])
}

func (l *Lender) requestRetry(ctx context.Context, m feed.Member, service vaneyoke.ServiceID) bool {
	ctx, cancel := context.WithTimeout(ctx, l.timeout)
	defer cancel()
	query := url.Values{serviceKey: {string(service)}}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+m.Address+BorrowPath+"?"+query.Encode(), nil)
	if err != nil {
		return false
	}
	res, err := l.node.client.Do(req)
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, res.Body) // the body is empty
	_ = res.Body.Close()
	return res.StatusCode == http.StatusOK
}

// randomPeers returns up to limit other members in random order, those of this node's data centre first.
func (n *Node) randomPeers(limit int) []feed.Member {
	members := n.registeredMembers()
	var local, remote []feed.Member
	for _, i := range rand.Perm(len(members)) {
		m := members[i]
		switch {
		case m.VM == n.self.VM || m.Address == "":
		case m.DataCentre == n.self.DataCentre:
			local = append(local, m)
		default:
			remote = append(remote, m)
		}
		if len(local) >= limit {
			break
		}
	}
	all := slices.Concat(local, remote)
	return all[:min(len(all), limit)]
}
