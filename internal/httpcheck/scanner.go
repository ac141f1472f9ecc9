package httpcheck

import (
	"fmt"

	"golang.org/x/net/http/httpguts"
)

// ViolationError reports that a response violates HTTP.
type ViolationError struct{ Reason string }

// Error returns the reason.
func (e *ViolationError) Error() string { return "response violates HTTP: " + e.Reason }

func violationf(format string, args ...any) *ViolationError {
	return &ViolationError{Reason: fmt.Sprintf(format, args...)}
}

// phase is the part of a response to which the next byte belongs.
type phase int

const (
	phaseProtocol phase = iota
	phaseBeforeStatus
	phaseStatus
	phaseReason
	phaseLineStart
	phaseLastLine // after the carriage return of the empty line
	phaseName
	phaseValue
	phaseBody // everything after the final head
)

const (
	minStatus          = 100
	minFinalStatus     = 200
	maxStatus          = 599
	switchingProtocols = 101 // no request asks for it
	statusDigits       = 3
	maxQuotedBytes     = 40 // of a name in an error
)

// headScanner scans the head of a response as its bytes arrive, and the heads of the interim responses before it. It accepts more than package net/http
// does, which parses the head afterwards, but for what that accepts although it is no HTTP: statuses outside of 100 to 599, names with blanks, and lines
// that begin with a blank, which continue the line before them and so hide a field.
type headScanner struct {
	phase  phase
	status int
	digits int
	name   []byte // start of the name of the current field
}

// scan scans the next bytes. With an error it returns how many bytes precede the violation; the scanner must not be used any more.
func (s *headScanner) scan(p []byte) (int, error) {
	for i, b := range p {
		if s.phase == phaseBody {
			return len(p), nil
		}
		if violation := s.scanByte(b); violation != nil {
			return i, violation
		}
	}
	return len(p), nil
}

func (s *headScanner) scanByte(b byte) *ViolationError {
	switch s.phase {
	case phaseProtocol, phaseBeforeStatus, phaseStatus:
		return s.scanStatus(b)
	case phaseReason, phaseValue:
		if b == '\n' {
			s.phase = phaseLineStart
		}
	case phaseLineStart:
		return s.startLine(b)
	case phaseLastLine:
		if b != '\n' {
			return violationf("a line begins with a carriage return")
		}
		s.endHead()
	case phaseName:
		return s.scanName(b)
	case phaseBody:
	}
	return nil
}

// scanStatus scans the status line up to the end of the status.
func (s *headScanner) scanStatus(b byte) *ViolationError {
	isEnd := b == ' ' || b == '\r' || b == '\n'
	switch {
	case s.phase == phaseProtocol && b == '\n', s.phase == phaseBeforeStatus && isEnd && b != ' ':
		return violationf("it has no status")
	case s.phase == phaseProtocol:
		if b == ' ' {
			s.phase = phaseBeforeStatus
		}
	case s.phase == phaseBeforeStatus && b == ' ':
	case isEnd:
		return s.endStatus(b)
	case b < '0' || b > '9' || s.digits == statusDigits:
		return violationf("its status is not a number of %d digits", statusDigits)
	default:
		s.phase = phaseStatus
		s.status, s.digits = 10*s.status+int(b-'0'), s.digits+1
	}
	return nil
}

// endStatus checks the status; end is the byte that follows it.
func (s *headScanner) endStatus(end byte) *ViolationError {
	if s.digits != statusDigits || s.status < minStatus || s.status > maxStatus || s.status == switchingProtocols {
		return violationf("its status is %0*d", s.digits, s.status)
	}
	s.phase = phaseReason
	if end == '\n' {
		s.phase = phaseLineStart
	}
	return nil
}

// startLine scans the first byte of a line after the status line.
func (s *headScanner) startLine(b byte) *ViolationError {
	switch b {
	case '\r':
		s.phase = phaseLastLine
	case '\n':
		s.endHead()
	case ' ', '\t':
		return violationf("a line of the head begins with a blank")
	default:
		s.phase, s.name = phaseName, s.name[:0]
		return s.scanName(b)
	}
	return nil
}

func (s *headScanner) scanName(b byte) *ViolationError {
	switch {
	case b == ':' && len(s.name) > 0:
		s.phase = phaseValue
	case !httpguts.IsTokenRune(rune(b)):
		return violationf("the name of a field has the byte %q after %q", b, s.name)
	case len(s.name) < maxQuotedBytes:
		s.name = append(s.name, b)
	}
	return nil
}

// endHead ends a head: that of the response, or of an interim response, after which another one follows.
func (s *headScanner) endHead() {
	if s.status >= minFinalStatus {
		s.phase = phaseBody
		return
	}
	s.expectHead()
}

// expectHead prepares for the next response.
func (s *headScanner) expectHead() { *s = headScanner{name: s.name[:0]} }
