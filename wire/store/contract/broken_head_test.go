package contract_test

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/internal/rawserver"
	"github.com/vaneyoke/vaneyoke/wire/store"
	"github.com/vaneyoke/vaneyoke/wire/store/aws"
)

// Guards against an answer of the platform that is no HTTP and is taken for a row, an object or a list, for none, or for what became of a transaction.
func TestBrokenHeadIsTakenForAFact(t *testing.T) {
	const (
		canceled = `{"__type":"com.amazonaws.dynamodb.v20120810#TransactionCanceledException","CancellationReasons":[{"Code":"ConditionalCheckFailed"}]}`
		invalid  = `{"__type":"com.amazon.coral.validate#ValidationException","message":"m"}`
		noObject = `<Error><Code>NoSuchKey</Code></Error>`
	)
	for name, tc := range map[string]struct{ head, body string }{
		"status 000":            {"HTTP/1.1 000 None\r\n", "{}"},
		"status 042":            {"HTTP/1.1 042 Low\r\n", "{}"},
		"blank, 200":            {"HTTP/1.1 200 OK\r\nX Note: y\r\n", "{}"},
		"blank, list":           {"HTTP/1.1 200 OK\r\nX-Note : y\r\n", `[{"vm":"vm-9"}]`},
		"blank, not modified":   {"HTTP/1.1 304 Not Modified\r\nX Note: y\r\n", ""},
		"blank, canceled":       {"HTTP/1.1 400 Bad\r\nX Note: y\r\n", canceled},
		"blank, invalid":        {"HTTP/1.1 400 Bad\r\n X-Note: y\r\n", invalid},
		"blank, no such object": {"HTTP/1.1 404 None\r\nX-Note : y\r\n", noObject},
	} {
		t.Run(name, func(t *testing.T) {
			url := "http://" + rawserver.Start(t, rawserver.Once(fmt.Sprintf(
				"%sContent-Type: application/x-amz-json-1.0\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", tc.head, len(tc.body), tc.body)))
			client := aws.New(aws.Config{TableURL: url, ObjectURL: url, VMsURL: url, Region: "local", AccessKey: "a", SecretKey: "b", Table: "t", Bucket: "b"}, &http.Client{Transport: &http.Transport{}})
			mustBe := func(want vaneyoke.Code, err error) {
				t.Helper()
				must.EqOp(t, want, vaneyoke.CodeOf(err), must.Sprint(err))
			}
			_, err := client.Get(t.Context(), key("a"))
			mustBe(vaneyoke.CodeStoreDown, err)
			_, err = client.Scan(t.Context(), "p", "", 10)
			mustBe(vaneyoke.CodeStoreDown, err)
			mustBe(vaneyoke.CodeStoreUnknown, client.Commit(t.Context(), store.Tx{Nonce: "n", Writes: []store.Write{put("a", "x", store.Condition{})}}))
			_, err = client.Objects().Get(t.Context(), "a")
			mustBe(vaneyoke.CodeStoreDown, err)
			mustBe(vaneyoke.CodeStoreDown, client.Objects().Put(t.Context(), "a", []byte("x")))
			vms, err := client.List(t.Context())
			mustBe(vaneyoke.CodeStoreDown, err)
			must.SliceEmpty(t, vms)
		})
	}
}
