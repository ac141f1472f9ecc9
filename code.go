package vaneyoke

import (
	"net/http"
	"strconv"
)

// Code is a numeric result code. It appears in responses, logs, traces and exit statuses; docs/RESULT-CODES.md lists all codes.
type Code int

// The result codes.
const (
	CodeOK Code = 0

	CodeUsage          Code = 10
	CodeSettingsFile   Code = 11
	CodeSettingsKey    Code = 12
	CodeSettingsValue  Code = 13
	CodeListen         Code = 14
	CodeCheckViolation Code = 15

	CodeBadRequest   Code = 20
	CodeBodyTooLarge Code = 21
	CodeUnsupported  Code = 22
	CodeUnknownModel Code = 23
	CodeNotFound     Code = 24
	CodeConflict     Code = 25
	CodeBadPolicy    Code = 26

	CodeNoKey      Code = 40
	CodeUnknownKey Code = 41
	CodeForbidden  Code = 42

	CodeStopping       Code = 60
	CodeNoUpstream     Code = 61
	CodeWaitExceeded   Code = 62
	CodeLimited        Code = 63
	CodeNotFresh       Code = 64
	CodeRefused        Code = 65
	CodeRetryExhausted Code = 66
	CodeQuarantined    Code = 67
	CodeWithheld       Code = 68
	CodePushedBack     Code = 69
	CodeOverloaded     Code = 70
	CodeVersionGone    Code = 71
	CodeOriginUnknown  Code = 72
	CodeNoMemory       Code = 73

	CodeInterrupted Code = 80
	CodeMayHaveRun  Code = 81
	CodeAnswerLost  Code = 82
	CodeUpstream    Code = 83
	CodeSuperseded  Code = 84
	CodeCallerGone  Code = 85

	CodeClaimUnknown Code = 86
	CodeNotConfirmed Code = 87
	CodeTimedOut     Code = 88

	CodeStoreDown    Code = 100
	CodeStoreRace    Code = 101
	CodeStoreUnknown Code = 102

	CodeInternal Code = 200
)

// CodeInfo describes a result code.
type CodeInfo struct {
	Code   Code
	Name   string
	Status int    // HTTP status; 0 for a code that is never returned over HTTP
	NotRun bool   // whether the code guarantees that nothing was run
	Text   string // what happened, in one sentence
}

var codeTable = []CodeInfo{
	{CodeOK, "ok", http.StatusOK, false, "The request was carried out."},
	{CodeUsage, "usage", 0, true, "The command line is wrong."},
	{CodeSettingsFile, "settings_file", 0, true, "The settings file cannot be read."},
	{CodeSettingsKey, "settings_key", 0, true, "The settings hold an unknown key, or lack a needed one."},
	{CodeSettingsValue, "settings_value", 0, true, "A setting has a value that is out of its range."},
	{CodeListen, "listen", 0, true, "A listening address cannot be opened."},
	{CodeCheckViolation, "check_violation", 0, false, "A check of the promises found a violation."},
	{CodeBadRequest, "bad_request", http.StatusBadRequest, true, "The body or a field of it is wrong."},
	{CodeBodyTooLarge, "body_too_large", http.StatusRequestEntityTooLarge, true, "The body is over the limit."},
	{CodeUnsupported, "unsupported", http.StatusBadRequest, true, "The request asks for something that the node does not offer."},
	{CodeUnknownModel, "unknown_model", http.StatusNotFound, true, "No upstream offers the model or service."},
	{CodeNotFound, "not_found", http.StatusNotFound, true, "The path or the named thing does not exist."},
	{CodeConflict, "conflict", http.StatusConflict, true, "The request contradicts an earlier one."},
	{CodeBadPolicy, "bad_policy", http.StatusUnprocessableEntity, true, "The policy's program has problems."},
	{CodeNoKey, "no_key", http.StatusUnauthorized, true, "The request carries no bearer key."},
	{CodeUnknownKey, "unknown_key", http.StatusUnauthorized, true, "The bearer key is unknown or revoked."},
	{CodeForbidden, "forbidden", http.StatusForbidden, true, "The key's role does not allow the request."},
	{CodeStopping, "stopping", http.StatusServiceUnavailable, true, "The node is stopping and takes no new request."},
	{CodeNoUpstream, "no_upstream", http.StatusServiceUnavailable, true, "No upstream can take the request now."},
	{CodeWaitExceeded, "wait_exceeded", http.StatusServiceUnavailable, true, "The request could not start within its wait."},
	{CodeLimited, "limited", http.StatusTooManyRequests, true, "The workspace is over its limit."},
	{CodeNotFresh, "not_fresh", http.StatusServiceUnavailable, true, "The node does not know the fleet's configuration well enough to take new work."},
	{CodeRefused, "refused", http.StatusBadRequest, true, "The upstream refused the request as wrong."},
	{CodeRetryExhausted, "retry_exhausted", http.StatusServiceUnavailable, true, "The retry budget is spent and nothing has been run."},
	{CodeQuarantined, "quarantined", http.StatusServiceUnavailable, true, "What the request asks has ended several upstreams that ran it, and is sent to none for a while."},
	{CodeWithheld, "withheld", http.StatusServiceUnavailable, true, "Each upstream that could take the request names how many it takes, and gets as many already."},
	{CodePushedBack, "pushed_back", http.StatusServiceUnavailable, true, "Each upstream that could take the request has asked for nothing for a while."},
	{CodeOverloaded, "overloaded", http.StatusServiceUnavailable, true, "The request could not be served in its time, or others go first; nothing was run."},
	{CodeVersionGone, "version_gone", http.StatusServiceUnavailable, true, "The stream was begun by a software version of which no upstream is left, and cannot go on; it has to be asked for anew."},
	{CodeOriginUnknown, "origin_unknown", http.StatusServiceUnavailable, true, "It is not known which of several software versions began the stream, so that it cannot go on; it has to be asked for anew."},
	{CodeNoMemory, "no_memory", http.StatusServiceUnavailable, true, "The node holds as much for its callers as it may, and has no room for the request's body."},
	{CodeInterrupted, "interrupted", http.StatusBadGateway, false, "The answer broke off and could not be continued."},
	{CodeMayHaveRun, "may_have_run", http.StatusBadGateway, false, "The request was sent to an upstream and its outcome is unknown."},
	{CodeAnswerLost, "answer_lost", http.StatusGone, false, "The answer was given before and is no longer held."},
	{CodeUpstream, "upstream", http.StatusBadGateway, false, "The upstream failed while it ran the request."},
	{CodeSuperseded, "superseded", http.StatusConflict, false, "Another node has taken the request over."},
	{CodeCallerGone, "caller_gone", 499, false, "The caller closed the connection."},
	{CodeClaimUnknown, "claim_unknown", http.StatusServiceUnavailable, false, "The store cannot be asked whether the request was run before; ask again with the same key."},
	{CodeNotConfirmed, "not_confirmed", http.StatusGatewayTimeout, false, "The change is committed and comes in force, but a majority of the nodes has not confirmed it yet."},
	{CodeTimedOut, "timed_out", http.StatusGatewayTimeout, false, "The time for the answer is over, and an upstream may have run the request."},
	{CodeStoreDown, "store_down", http.StatusServiceUnavailable, true, "The platform's store cannot be reached."},
	{CodeStoreRace, "store_race", http.StatusConflict, true, "Another writer changed the row first."},
	{CodeStoreUnknown, "store_unknown", http.StatusBadGateway, false, "The store's reply was lost, so the write may have taken effect."},
	{CodeInternal, "internal", http.StatusInternalServerError, false, "The node found a fault in itself."},
}

// Codes returns every result code in ascending order.
func Codes() []CodeInfo { return codeTable }

// Info returns the description of c, or that of CodeInternal for a number that is not in the table.
func (c Code) Info() CodeInfo {
	for _, info := range codeTable {
		if info.Code == c {
			return info
		}
	}
	return CodeInternal.Info()
}

// IsFinal reports whether no repetition of the request can succeed, so that its caller is given no retry-after time unless the refusal has one.
func (c Code) IsFinal() bool { return c == CodeVersionGone || c == CodeOriginUnknown }

// String returns the code's number and name.
func (c Code) String() string { return strconv.Itoa(int(c)) + " " + c.Info().Name }
