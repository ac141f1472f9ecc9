package cutline_test

import (
	"io"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/cutline"
)

// TestPartition checks what each mode does to new and to open connections, during the partition and after it.
func TestPartition(t *testing.T) {
	cases := map[string]struct {
		mode     cutline.Mode
		openLive bool // whether open connections go on during the partition
		openEnds bool // whether they are reset
	}{
		"silent":       {mode: cutline.Silent},
		"reset":        {mode: cutline.Reset, openEnds: true},
		"refuses only": {mode: cutline.RefuseOnly, openLive: true},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			address := startEcho(t)
			d := cutline.New(&net.Dialer{Timeout: 50 * time.Millisecond})
			open, err := d.DialContext(t.Context(), "tcp", address)
			must.NoError(t, err)
			defer func() { _ = open.Close() }()
			must.True(t, echoes(open))
			d.Cut(tc.mode, func(a string) bool { return a == address })
			_, err = d.DialContext(t.Context(), "tcp", address)
			must.Error(t, err)
			_ = open.SetReadDeadline(time.Now().Add(100 * time.Millisecond))
			done := make(chan bool, 1)
			go func() { done <- echoes(open) }()
			select {
			case ok := <-done:
				must.EqOp(t, tc.openLive, ok)
				must.True(t, tc.openLive || tc.openEnds)
			case <-time.After(300 * time.Millisecond):
				must.False(t, tc.openLive || tc.openEnds)
			}
			d.Restore()
			c, err := d.DialContext(t.Context(), "tcp", address)
			must.NoError(t, err)
			must.True(t, echoes(c))
			must.NoError(t, c.Close())
		})
	}
}

func startEcho(t *testing.T) string {
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // closed by the test
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { _, _ = io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

func echoes(c net.Conn) bool {
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	n, err := c.Read(make([]byte, 1))
	return n == 1 && err == nil
}
