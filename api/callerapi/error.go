package callerapi

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"

	"github.com/danielgtaylor/huma/v2"

	"github.com/vaneyoke/vaneyoke"
)

// ErrorBody is the body of every error response, in the format of the OpenAI API.
type ErrorBody struct {
	Failure ErrorDetail `json:"error"`
	status  int
	header  http.Header
}

// ErrorDetail describes a failure.
type ErrorDetail struct {
	Code         string `json:"code" doc:"Numbered result code; docs/RESULT-CODES.md lists them."`
	Type         string `json:"type" doc:"Name of the result code."`
	Message      string `json:"message"`
	Param        string `json:"param,omitempty" doc:"Field of the request that is wrong."`
	NotRun       bool   `json:"not_run" doc:"True where the request was certainly not run."`
	RetryAfterMS int64  `json:"retry_after_ms,omitempty" doc:"When to come back."`
}

// Error returns the message.
func (e *ErrorBody) Error() string { return e.Failure.Message }

// GetStatus returns the HTTP status.
func (e *ErrorBody) GetStatus() int { return e.status }

// GetHeaders returns the response headers.
func (e *ErrorBody) GetHeaders() http.Header { return e.header }

// NewErrorBody converts an error to the body that callers and operators see.
func NewErrorBody(err error) *ErrorBody {
	if body, ok := errors.AsType[*ErrorBody](err); ok {
		return body
	}
	info := vaneyoke.CodeOf(err).Info()
	message := err.Error()
	if info.Code == vaneyoke.CodeInternal {
		message = info.Text
	}
	body := &ErrorBody{status: info.Status, header: http.Header{}}
	body.Failure = ErrorDetail{
		Code:    strconv.Itoa(int(info.Code)),
		Type:    info.Name,
		Message: message,
		Param:   vaneyoke.FieldOf(err),
		NotRun:  info.NotRun,
	}
	if after := vaneyoke.RetryAfterOf(err); after > 0 {
		body.Failure.RetryAfterMS = after.Milliseconds()
		body.header.Set("Retry-After", strconv.Itoa(int(math.Ceil(after.Seconds()))))
	}
	return body
}

// WriteError writes an error response outside of huma's operations.
func WriteError(w http.ResponseWriter, err error) {
	body := NewErrorBody(err)
	for name, values := range body.header {
		w.Header()[name] = values
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(body.status)
	_ = json.NewEncoder(w).Encode(body)
}

// newError converts err to an error that huma writes as an ErrorBody.
func newError(err error) error { return NewErrorBody(err) }

func init() { huma.NewError = humaError }

// humaError assigns a result code to errors that huma itself detects.
func humaError(status int, message string, errs ...error) huma.StatusError {
	code := codeOfStatus(status)
	var field string
	for _, err := range errs {
		if vaneyoke.CodeOf(err) == vaneyoke.CodeStopping { // of a body that was not complete
			return NewErrorBody(err)
		}
		if detail, ok := errors.AsType[*huma.ErrorDetail](err); ok && field == "" {
			field = detail.Location
		}
		if err != nil {
			message += ": " + strings.TrimSpace(err.Error())
		}
	}
	return NewErrorBody(vaneyoke.ErrField(code, field, "%s", message))
}

func codeOfStatus(status int) vaneyoke.Code {
	switch {
	case status == http.StatusRequestEntityTooLarge:
		return vaneyoke.CodeBodyTooLarge
	case status == http.StatusNotFound:
		return vaneyoke.CodeNotFound
	case status >= http.StatusInternalServerError:
		return vaneyoke.CodeInternal
	default:
		return vaneyoke.CodeBadRequest
	}
}
