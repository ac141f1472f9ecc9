package serve_test

import (
	"bufio"
	"fmt"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/api/serve"
)

// childKey is the environment variable by which this program serves the handler of the tests in place of running them.
const childKey = "SERVE_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childKey) == "" {
		os.Exit(m.Run())
	}
	l, err := net.Listen("tcp", "127.0.0.1:0") //nolint:noctx // nothing to cancel
	if err != nil {
		os.Exit(1)
	}
	fmt.Println(l.Addr())
	_ = serve.New(endsHandler(make(chan struct{}, 1)), serve.Config{}).Serve(l)
}

// Guards against an answer that looks complete to its caller because the system closes the connections of a process that is killed.
func TestAnswerOfAKilledProcessLooksComplete(t *testing.T) {
	for asker, request := range askers {
		t.Run(asker, func(t *testing.T) {
			t.Parallel()
			process := exec.Command(os.Args[0]) //nolint:gosec,noctx // this program
			process.Env = append(os.Environ(), childKey+"=1")
			out, err := process.StdoutPipe()
			must.NoError(t, err)
			must.NoError(t, process.Start())
			t.Cleanup(func() { _ = process.Process.Kill(); _ = process.Wait() })
			address, err := bufio.NewReader(out).ReadString('\n')
			must.NoError(t, err)
			conn, err := net.Dial("tcp", strings.TrimSpace(address)) //nolint:noctx // nothing to cancel
			must.NoError(t, err)
			t.Cleanup(func() { _ = conn.Close() })
			write(t, conn, strings.ReplaceAll(request, "PATH", "/stream/closed"))
			reader := bufio.NewReader(conn)
			_, err = reader.Peek(1) // the head has come
			must.NoError(t, err)
			must.NoError(t, process.Process.Kill())
			_, got := readEnd(conn, reader)
			must.SliceContains(t, []end{endCut, endReset}, got)
		})
	}
}
