package pins

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/internal/pause"
)

const (
	sweepInterval = 5 * time.Minute
	sweepTimeout  = time.Minute
)

// Run deletes the rows that nodes which do not run any more have left in the store, from time to time while isSweeper holds, until ctx is done.
func (n *Node) Run(ctx context.Context, isSweeper func() bool) {
	for pause.For(ctx, sweepInterval/2+rand.N(sweepInterval)) {
		if !isSweeper() {
			continue
		}
		n.sweep(ctx)
	}
}

func (n *Node) sweep(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, sweepTimeout)
	defer cancel()
	swept, err := n.archive.Sweep(ctx)
	n.metrics.counts.Add("rows_swept_total", int64(swept))
	if swept > 0 || err != nil {
		n.log.WithFields(logrus.Fields{"count": swept, "error": err}).Info("stream_records_swept")
	}
}
