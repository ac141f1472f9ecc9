package node

import (
	"encoding/json"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/vaneyoke/vaneyoke/process/settings"
	"github.com/vaneyoke/vaneyoke/shell/watch"
)

// upstreamRows returns the rows of the given number of engines.
func upstreamRows(b *testing.B, count int) watch.Rows {
	rows := watch.Rows{}
	for i := range count {
		data, err := json.Marshal(map[string]any{
			"service": "lm", "address": fmt.Sprintf("10.1.%d.%d:8044", i/250, i%250), "zone": "a", "version": "v1", "slots": 32, "state": "ready",
			"coldLeftMs": 0, "sequence": 1, "born": 1700000000000 + i,
		})
		if err != nil {
			b.Fatal(err)
		}
		rows[fmt.Sprintf("i-%08x", i)] = watch.Row{Data: data, Version: watch.Version(i)}
	}
	return rows
}

// BenchmarkTakeList applies a list of upstreams: in a new node, and again after one row has changed.
func BenchmarkTakeList(b *testing.B) {
	for _, count := range []int{1000, 10_000, 20_000} {
		rows := upstreamRows(b, count)
		log := logrus.New()
		log.SetOutput(io.Discard)
		s, err := settings.Parse([]byte("[node]\nvm = vm-1\ndata_centre = a\n[gateway]\nlisten = 127.0.0.1:0\nreadiness = 127.0.0.1:0\nstore = 127.0.0.1:1\n"), "node.ini")
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint("whole/", count), func(b *testing.B) {
			for b.Loop() {
				n, err := BuildGateway(s, log)
				if err != nil {
					b.Fatal(err)
				}
				n.active.setUpstreams(time.Now(), rows)
			}
		})
		n, err := BuildGateway(s, log)
		if err != nil {
			b.Fatal(err)
		}
		n.active.setUpstreams(time.Now(), rows)
		b.Run(fmt.Sprint("one/", count), func(b *testing.B) {
			for b.Loop() {
				row := rows["i-00000007"]
				row.Version++
				rows["i-00000007"] = row
				n.active.setUpstreams(time.Now(), rows)
			}
		})
	}
}
