package fleet_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/vaneyoke/vaneyoke/api/callerapi"
	"github.com/vaneyoke/vaneyoke/tools/fleet"
)

// nodeConn is a connection to a node that lets a test observe when it is closed.
type nodeConn struct {
	net.Conn
	reader    *bufio.Reader
	keptAlive bool // whether the latest answer did not announce that the connection closes
}

func dial(ctx context.Context, url string) (*nodeConn, error) {
	conn, err := new(net.Dialer).DialContext(ctx, "tcp", strings.TrimPrefix(url, "http://"))
	if err != nil {
		return nil, err
	}
	return &nodeConn{Conn: conn, reader: bufio.NewReader(conn)}, nil
}

// rawRequest returns the bytes of a request and the offset of its body.
func rawRequest(method, path, key, body string) (raw []byte, bodyAt int) {
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: node\r\nAuthorization: Bearer %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n", method, path, key, len(body))
	return append([]byte(head), body...), len(head)
}

func rawReserve(order string) (raw []byte, bodyAt int) {
	return rawRequest(http.MethodPost, "/v1/services/"+string(fleet.Service)+"/reserve", fleet.CallerKey, `{"order":"`+order+`"}`)
}

// reply is the answer of a node.
type reply struct {
	status  int
	failure callerapi.ErrorDetail // zero if the answer has none
}

// readReply reads one complete answer.
func (l *nodeConn) readReply() (reply, error) {
	_ = l.SetReadDeadline(time.Now().Add(20 * time.Second))
	res, err := http.ReadResponse(l.reader, nil)
	if err != nil {
		return reply{}, err
	}
	defer func() { _ = res.Body.Close() }()
	body, err := io.ReadAll(res.Body)
	if err != nil {
		return reply{}, err
	}
	l.keptAlive = !res.Close
	var failure callerapi.ErrorBody
	if res.StatusCode >= http.StatusBadRequest {
		err = json.Unmarshal(body, &failure)
	}
	return reply{status: res.StatusCode, failure: failure.Failure}, err
}

// roundTrip sends a request and reads its answer.
func (l *nodeConn) roundTrip(raw []byte) (reply, error) {
	if _, err := l.Write(raw); err != nil {
		return reply{}, err
	}
	return l.readReply()
}
