package relay_test

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke"
	"github.com/vaneyoke/vaneyoke/wire/forward"
)

// Guards against a complete answer without a head, and against one with the head of an attempt that another one began or ended.
func TestHeadOfACompleteAnswerIsMissingOrOfAnotherAttempt(t *testing.T) {
	cases := map[string]struct {
		first, second *lateExchange
		head, text    string
	}{
		"without an event":                          {&lateExchange{}, nil, "a", ""},
		"without an event, late":                    {&lateExchange{delay: time.Second}, nil, "a", ""},
		"lost after its head":                       {&lateExchange{breaks: true}, &lateExchange{}, "b", ""},
		"lost after its head, then with events":     {&lateExchange{breaks: true}, &lateExchange{events: 2}, "b", "bb"},
		"lost after its events":                     {&lateExchange{events: 3, breaks: true}, &lateExchange{}, "a", "aaa"},
		"lost midway":                               {&lateExchange{events: 1, breaks: true}, &lateExchange{events: 2}, "a", "abb"},
		"overtaken by an end":                       {&lateExchange{delay: 20 * time.Second}, &lateExchange{}, "b", ""},
		"overtaken by an end, then with events":     {&lateExchange{events: 3, delay: 20 * time.Second}, &lateExchange{}, "b", ""},
		"overtaken by events":                       {&lateExchange{delay: 20 * time.Second}, &lateExchange{events: 2, delay: time.Second}, "b", "bb"},
		"overtaken by an end that comes after both": {&lateExchange{delay: 30 * time.Second}, &lateExchange{delay: 2 * time.Second}, "b", ""},
	}
	for name, tc := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				tc.first.from = "a"
				answers := map[vaneyoke.UpstreamID]forward.Response{"a": tc.first}
				if tc.second != nil {
					tc.second.from, tc.second.sent = "b", 0
					answers["b"] = tc.second
				}
				r := newForwarder(&fakeSender{answers: answers, reachable: strings.HasPrefix(name, "without")})
				session := forwardStream(t, r)
				result, err := session.Wait(t.Context())
				must.NoError(t, err)
				must.EqOp(t, vaneyoke.CodeOK, result.Code)
				must.EqOp(t, tc.text, string(session.Text()))
				must.EqOp(t, tc.head, session.Head().Header.Get("From"))
				time.Sleep(time.Minute)
				must.EqOp(t, tc.head, session.Head().Header.Get("From"))
				r.Close()
				synctest.Wait()
			})
		})
	}
}
