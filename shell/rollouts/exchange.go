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

// Path is the HTTP path at which a node receives the reports of its child nodes.
const Path = "/rollouts"

const (
	reportTimeout  = 400 * time.Millisecond // of a report to the parent node
	maxReportBytes = 1 << 20
)

// reportRequest holds the reports that a node sends to its parent.
type reportRequest struct {
	From    vaneyoke.VMID    `json:"from"`
	Reports []rollout.Report `json:"all"`
}

// reportResponse is the parent's answer: the rollouts that it knows to be bad.
type reportResponse struct {
	Stopped []rollout.ID `json:"all"`
}

// ServeHTTP receives the reports of a child node.
func (n *Node) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var request reportRequest
	if err := json.NewDecoder(http.MaxBytesReader(w, r.Body, maxReportBytes)).Decode(&request); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	n.handle(steady.Now(), rollout.ReportReceived{From: request.From, Reports: request.Reports})
	n.mu.Lock()
	response := reportResponse{Stopped: n.state.Stops()}
	n.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(response) // if the connection is lost, the child node asks again
}

// report sends the counts to the parent node, and handles the stopped rollouts that it returns.
func (n *Node) report(ctx context.Context) {
	parent, ok := n.tree.Parent()
	if !ok {
		return
	}
	n.mu.Lock()
	request := reportRequest{From: n.self, Reports: n.state.Reports()}
	n.mu.Unlock()
	if len(request.Reports) == 0 {
		return
	}
	response, err := n.sendReport(ctx, parent.Address, request)
	if err != nil {
		n.log.WithFields(logrus.Fields{"peer": parent.VM, "error": err}).Debug("report_failed")
		return
	}
	if len(response.Stopped) > 0 {
		n.handle(steady.Now(), rollout.StopsReceived{Stops: response.Stopped})
	}
}

func (n *Node) sendReport(ctx context.Context, address string, request reportRequest) (response reportResponse, err error) {
	body, err := json.Marshal(request)
	if err != nil {
		return response, err
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+Path, bytes.NewReader(body))
	if err != nil {
		return response, err
	}
	req.Header.Set("Content-Type", "application/json")
	res, err := n.client.Do(req)
	if err != nil {
		return response, err
	}
	defer func() { _ = res.Body.Close() }()
	n.metrics.counts.Add("reported_bytes_total", int64(len(body)))
	err = json.NewDecoder(io.LimitReader(res.Body, maxReportBytes)).Decode(&response)
	return response, err
}
