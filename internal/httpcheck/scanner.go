package httpcheck

import (
	"fmt"
	"strconv"

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
	statusLength       = 3
	maxQuotedBytes     = 40 // of a name in an error
)

// headScanner scans the head of a response as its bytes arrive, and the heads of the interim responses before it. It finds what package net/http accepts
// although it is no HTTP: statuses outside of 100 to 599, names with blanks, and lines that begin with a blank, which continue the line before them and so
// hide a field. It lets pass what package net/http rejects.
type headScanner struct {
	phase      phase
	status     []byte // start of it
	name       []byte // start of the name of the current field
	hasBlank   bool   // whether the name has a blank
	hasInvalid bool   // whether the name has another byte that no name may have
}

// scan scans the next bytes. With an error it returns how many bytes precede the end of the violation; the scanner must not be used any more.
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
	case phaseProtocol:
		if b == ' ' {
			s.phase = phaseStatus
		}
	case phaseStatus:
		return s.scanStatus(b)
	case phaseReason, phaseValue:
		if b == '\n' {
			s.phase = phaseLineStart
		}
	case phaseLineStart:
		return s.startLine(b)
	case phaseLastLine:
		if b == '\n' {
			s.endHead()
			return nil
		}
		s.phase, s.hasInvalid = phaseName, true
	case phaseName:
		return s.scanName(b)
	case phaseBody:
	}
	return nil
}

// scanStatus scans the status, and the blanks before it.
func (s *headScanner) scanStatus(b byte) *ViolationError {
	switch {
	case b == ' ' && len(s.status) == 0:
	case b == ' ', b == '\r', b == '\n':
		s.phase = phaseReason
		if b == '\n' {
			s.phase = phaseLineStart
		}
		return s.checkStatus()
	case len(s.status) <= statusLength:
		s.status = append(s.status, b)
	}
	return nil
}

// checkStatus checks a status of three bytes; package net/http rejects any other one.
func (s *headScanner) checkStatus() *ViolationError {
	status, err := strconv.Atoi(string(s.status))
	if len(s.status) != statusLength || err != nil {
		return nil
	}
	if status < minStatus || status > maxStatus || status == switchingProtocols {
		return violationf("its status is %s", s.status)
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
		return violationf("a line of its head begins with a blank")
	default:
		s.phase, s.name, s.hasBlank, s.hasInvalid = phaseName, s.name[:0], false, false
		return s.scanName(b)
	}
	return nil
}

func (s *headScanner) scanName(b byte) *ViolationError {
	switch {
	case b == ':' && s.hasBlank && !s.hasInvalid:
		return violationf("the name of a field is %q", s.name)
	case b == ':':
		s.phase = phaseValue
		return nil
	case b == '\n':
		s.phase = phaseLineStart
		return nil
	case b == ' ':
		s.hasBlank = true
	case !httpguts.IsTokenRune(rune(b)):
		s.hasInvalid = true
	}
	if len(s.name) < maxQuotedBytes {
		s.name = append(s.name, b)
	}
	return nil
}

// endHead ends a head: that of the response, or of an interim response, after which another one follows.
func (s *headScanner) endHead() {
	if status, err := strconv.Atoi(string(s.status)); err == nil && status < minFinalStatus {
		s.expectHead()
		return
	}
	s.phase = phaseBody
}

// expectHead prepares for the next response.
func (s *headScanner) expectHead() { *s = headScanner{status: s.status[:0], name: s.name[:0]} }
