package mesh

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/feed"
	"github.com/vaneyoke/vaneyoke/decide/retry"
)

// account is a node's retry budget and the number of retries requested from it.
type account struct {
	mu       sync.Mutex
	budget   *retry.Budget
	requests int
}

func (a *account) lend(vaneyoke.ServiceID) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requests++
	return a.budget.Take(time.Now())
}

func startLenders(t *testing.T, count int, burst float64) ([]*Lender, []*account) {
	peers := startMesh(t, count)
	waitUntil(t, allAtVersion(peers, 1))
	lenders := make([]*Lender, count)
	accounts := make([]*account, count)
	var members []feed.Member
	for i, p := range peers {
		accounts[i] = &account{budget: retry.NewBudget(retry.BudgetConfig{Burst: burst, Window: time.Hour})}
		lenders[i] = NewLender(p.Node, accounts[i].lend)
		lenders[i].timeout = time.Minute // a retry whose answer comes too late is lent and not borrowed
		mux := http.NewServeMux()
		mux.Handle("POST "+BorrowPath, lenders[i])
		server := httptest.NewServer(mux)
		t.Cleanup(server.Close)
		m := p.self
		m.Address = strings.TrimPrefix(server.URL, "http://")
		members = append(members, m)
	}
	for _, p := range peers {
		p.SetMembers(members)
	}
	return lenders, accounts
}

// TestNodeBorrowsRetriesOfOthers checks that a node which needs more retries than its share gets those of the others, and that all nodes
// together never spend more than the sum of the shares.
func TestNodeBorrowsRetriesOfOthers(t *testing.T) {
	const nodes, share = 4, 2
	lenders, accounts := startLenders(t, nodes, share)
	borrower := lenders[0]
	got := 0
	for range share {
		must.True(t, accounts[0].lend("s"))
	}
	for range 20 * nodes * share {
		borrower.notBefore = map[vaneyoke.ServiceID]time.Time{} // no pause after a refusal
		if borrower.Borrow(t.Context(), "s") {
			got++
		}
	}
	must.EqOp(t, (nodes-1)*share, got)
	for _, a := range accounts[1:] {
		must.False(t, a.lend("s"))
	}
}

// TestNoBorrowingAfterRefusal checks that a node does not ask at each failure while the fleet has no retries left.
func TestNoBorrowingAfterRefusal(t *testing.T) {
	lenders, accounts := startLenders(t, 3, 0)
	for range 10 {
		must.False(t, lenders[0].Borrow(t.Context(), "s"))
	}
	must.EqOp(t, 2, accounts[1].requests+accounts[2].requests)
	must.False(t, lenders[0].Borrow(t.Context(), "other"))
	must.EqOp(t, 4, accounts[1].requests+accounts[2].requests)
}

// TestSingleNodeBorrowsNothing checks a node without other members.
func TestSingleNodeBorrowsNothing(t *testing.T) {
	lenders, _ := startLenders(t, 1, 5)
	must.False(t, lenders[0].Borrow(t.Context(), "s"))
}
