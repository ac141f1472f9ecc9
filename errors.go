package vaneyoke

import (
	"errors"
	"time"

	"github.com/samber/oops"
)

const (
	retryAfterField = "retry_after"
	locationField   = "location"
)

// Err returns an error with a result code and a human-readable message.
func Err(code Code, format string, args ...any) error {
	return oops.Code(code).Errorf(format, args...)
}

// ErrRetryAfter returns an error that tells the caller how long to wait before it retries.
func ErrRetryAfter(code Code, after time.Duration, format string, args ...any) error {
	return oops.Code(code).With(retryAfterField, after).Errorf(format, args...)
}

// ErrField returns an error about one field of a request body.
func ErrField(code Code, field, format string, args ...any) error {
	return oops.Code(code).With(locationField, field).Errorf(format, args...)
}

// WrapErr adds a message to err and, if err has none yet, a result code. It returns nil for a nil err.
func WrapErr(code Code, err error, format string, args ...any) error {
	return oops.Code(code).Wrapf(err, format, args...)
}

// CodeOf returns the result code of err, CodeOK for nil and CodeInternal for an error without one.
func CodeOf(err error) Code {
	if err == nil {
		return CodeOK
	}
	if e, ok := errors.AsType[oops.OopsError](err); ok {
		if code, ok := e.Code().(Code); ok {
			return code
		}
	}
	return CodeInternal
}

// RetryAfterOf returns how long the caller should wait before it retries, or 0 if err does not say.
func RetryAfterOf(err error) time.Duration {
	e, ok := errors.AsType[oops.OopsError](err)
	if !ok {
		return 0
	}
	after, _ := e.Context()[retryAfterField].(time.Duration)
	return after
}

// FieldOf returns the field of the request body that err is about, or "".
func FieldOf(err error) string {
	e, ok := errors.AsType[oops.OopsError](err)
	if !ok {
		return ""
	}
	field, _ := e.Context()[locationField].(string)
	return field
}

// ExitStatus returns the exit status of a command that ended with err; an error without a result code counts as a usage error.
func ExitStatus(err error) int {
	code := CodeOf(err)
	if code == CodeInternal {
		code = CodeUsage
	}
	return int(code)
}
