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

// Err returns an error with a result code and a message for people.
func Err(code Code, format string, args ...any) error {
	return oops.Code(code).Errorf(format, args...)
}

// ErrRetryAfter returns an error that tells the caller when to come back.
func ErrRetryAfter(code Code, after time.Duration, format string, args ...any) error {
	return oops.Code(code).With(retryAfterField, after).Errorf(format, args...)
}

// ErrField returns an error about one field of a request body.
func ErrField(code Code, field, format string, args ...any) error {
	return oops.Code(code).With(locationField, field).Errorf(format, args...)
}

// WrapErr gives err a message and, where it has none yet, a result code; nil stays nil.
func WrapErr(code Code, err error, format string, args ...any) error {
	return oops.Code(code).Wrapf(err, format, args...)
}

// CodeOf returns the result code that err carries, CodeOK for nil and CodeInternal for an error without one.
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

// RetryAfterOf returns when the caller should come back, or 0 where err does not say.
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

// ExitStatus returns the exit status of a command that ended with err; an error without a result code is one of the command line.
func ExitStatus(err error) int {
	code := CodeOf(err)
	if code == CodeInternal {
		code = CodeUsage
	}
	return int(code)
}
