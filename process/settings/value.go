package settings

import (
	"cmp"
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"reflect"
	"slices"
	"strconv"
	"time"
)

// Values of settings that are names.
var (
	logLevels      = []string{"debug", "info", "warning", "error"}
	admissionModes = []string{"auto", "ranked", "passive"}
)

// setField parses and validates the text of one setting.
func setField(field reflect.Value, tag reflect.StructTag, text string) error {
	switch p := field.Addr().Interface().(type) {
	case *string:
		*p = text
		return checkText(tag.Get("check"), text)
	case *bool:
		value, err := strconv.ParseBool(text)
		if err != nil {
			return fmt.Errorf("must be true or false, got %q", text)
		}
		*p = value
		return nil
	case *time.Duration:
		return setNumber(p, tag, text, time.ParseDuration, "a duration such as 250ms or 2s")
	case *int:
		return setNumber(p, tag, text, strconv.Atoi, "a whole number")
	case *int64:
		return setNumber(p, tag, text, parseInt64, "a whole number")
	case *float64:
		return setNumber(p, tag, text, parseFloat, "a number")
	default:
		return fmt.Errorf("settings of type %s cannot be read", field.Type())
	}
}

func parseInt64(text string) (int64, error) { return strconv.ParseInt(text, 10, 64) }

func parseFloat(text string) (float64, error) { return strconv.ParseFloat(text, 64) }

// setNumber parses a value and checks it against the tag's bounds.
func setNumber[T cmp.Ordered](p *T, tag reflect.StructTag, text string, parse func(string) (T, error), expected string) error {
	value, err := parse(text)
	if err != nil {
		return fmt.Errorf("must be %s, got %q", expected, text)
	}
	if minimum, err := parse(tag.Get("min")); err == nil && value < minimum {
		return fmt.Errorf("must be at least %s, got %s", tag.Get("min"), text)
	}
	if maximum, err := parse(tag.Get("max")); err == nil && value > maximum {
		return fmt.Errorf("must be at most %s, got %s", tag.Get("max"), text)
	}
	*p = value
	return nil
}

func checkText(check, text string) error {
	switch check {
	case "required":
		if text == "" {
			return errors.New("is missing")
		}
	case "keys":
		if len((Peers{Keys: text}).KeyList()) == 0 {
			return errors.New("is missing")
		}
	case "address":
		if _, err := netip.ParseAddrPort(text); err != nil {
			return fmt.Errorf("must be an IP number and a port, got %q", text)
		}
	case "optional_address":
		if text == "" {
			return nil
		}
		return checkText("address", text)
	case "url":
		return checkURL(text)
	case "admission_mode":
		if !slices.Contains(admissionModes, text) {
			return fmt.Errorf("must be one of %v, got %q", admissionModes, text)
		}
	case "level":
		if !slices.Contains(logLevels, text) {
			return fmt.Errorf("must be one of %v, got %q", logLevels, text)
		}
	}
	return nil
}

func checkURL(text string) error {
	if text == "" {
		return errors.New("is missing")
	}
	u, err := url.Parse(text)
	if err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
		return fmt.Errorf("must be an http or https address, got %q", text)
	}
	return nil
}
