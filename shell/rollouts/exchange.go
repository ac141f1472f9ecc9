package rollouts

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/decide/rollout"
	"github.com/vaneyoke/vaneyoke/internal/steady"
)

// Path is where a node takes the reports of those that follow it.
const Path = "/rollouts"

const (
	reportWait     = 400 * time.Millisecond // longest wait for the node above
	maxReportBytes = 1 << 20
)

// reports is what a node tells the one above it.
type reports struct {
	From vaneyoke.VMID    `json:"from"`
	All  []rollout.Report `json:"all"`
}

// stops is the answer: the roll-outs that the node above knows to be bad.
type stops struct {
	All []rollout.ID `json:"all"`
}

// ServeHTTP takes the reports of a node that follows this one.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var told reports
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReportBytes)).Decode(&told); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.handle(steady.Now(), rollout.ReportReceived{From: told.From, Reports: told.All})
	n.mu.Lock()
	answer := stops{All: n.state.Stops()}
	n.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(answer) // a node that is gone asks again
}

// report tells the node above what was counted, and takes in what it knows to be bad.
func (n *Node) report(ctx context.Context) {
	above, ok := n.tree.Above()
	if !ok {
		return
	}
	n.mu.Lock()
	told := reports{From: n.self, All: n.state.Reports()}
	n.mu.Unlock()
	if len(told.All) == 0 {
		return
	}
	answer, err := n.exchange(ctx, above.Address, told)
	if err != nil {
		n.log.WithFields(logrus.Fields{"peer": above.VM, "error": err}).Debug("report_failed")
		return
	}
	if len(answer.All) > 0 {
		n.handle(steady.Now(), rollout.StopsReceived{Stops: answer.All})
	}
}

func (n *Node) exchange(ctx context.Context, address string, told reports) (answer stops, err error) {
	body, err := json.Marshal(told)
	if err != nil {
		return answer, err
	}
	ctx, cancel := context.WithTimeout(ctx, reportWait)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return answer, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := n.client.Do(req)
	if err != nil {
		return answer, err
	}
	defer func() { _ = res.Body.Close() }()
	n.metrics.counts.Add("reported_bytes_total", int64(len(body)))
	err = json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&answer)
	return answer, err
}
