package mesh

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"
)

// followAny follows the first of some members that can be relied on, and reports whether there was one; found is called
// when there is.
func (n *Node) followAny(ctx context.Context, members []Member, found func()) bool {
	for _, m := range members {
		relied, err := n.follow(ctx, m, found)
		if ctx.Err() != nil {
			return true
		}
		n.log.WithFields(logrus.Fields{"peer": m.VM, "relied": relied, "error": err}).Info("peer_lost")
		if relied {
			return true
		}
	}
	return false
}

var (
	errStalled = errors.New("no word in time")
	errOld     = errors.New("its tables are old")
)

// follow takes in what a member tells until it cannot be relied on any more; relied says whether it ever could, and
// found is called when it can.
func (n *Node) follow(ctx context.Context, m Member, found func()) (relied bool, err error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	stall := time.AfterFunc(n.config.Stall, func() { cancel(errStalled) })
	defer stall.Stop()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+m.Address+Path+"?"+n.hub.held(), nil)
	if err != nil {
		return false, err
	}
	res, err := n.client.Do(req)
	if err != nil {
		return false, err
	}
	defer func() { _ = res.Body.Close() }()
	if res.StatusCode != http.StatusOK {
		return false, fmt.Errorf("status %d", res.StatusCode)
	}
	return n.takeFrames(bufio.NewReader(res.Body), stall, found)
}

func (n *Node) takeFrames(r io.Reader, stall *time.Timer, found func()) (relied bool, err error) {
	patience := time.Now().Add(n.config.Stall)
	for {
		p, err := readPacket(r)
		if err != nil {
			return relied, err
		}
		f, err := p.unpack()
		if err != nil {
			return relied, err
		}
		now := time.Now()
		n.hub.take(now, f)
		stall.Reset(n.config.Stall)
		if f.Beat == nil {
			continue
		}
		old := !f.Beat.Known || time.Duration(f.Beat.AgeMs)*time.Millisecond > n.config.OldAge
		if old && (relied || now.After(patience)) {
			return relied, errOld
		}
		if !old && !relied {
			relied = true
			found()
		}
	}
}
