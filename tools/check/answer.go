package check

import (
	"fmt"
	"strconv"
	"strings"

	"github.com/vaneyoke/vaneyoke"
)

// Report describes a checked answer.
type Report struct {
	Tokens vaneyoke.Tokens
	Seams  []vaneyoke.Tokens // token indexes at which another attempt continued the answer
}

// ViolationError reports the first token at which an answer is wrong.
type ViolationError struct {
	Index  vaneyoke.Tokens // index of the first wrong token
	Reason string
}

// Error returns the token index and the reason.
func (e *ViolationError) Error() string { return fmt.Sprintf("token %d: %s", e.Index, e.Reason) }

// Answer checks the text of an answer to a prompt. Every error that it returns is a *ViolationError.
func Answer(prompt []vaneyoke.TokenID, text string) (Report, error) {
	var report Report
	prefix := HashPrefix(prompt)
	var last vaneyoke.TokenID
	salt := -1
	for text != "" {
		id, rest, ok := cutToken(text, EndsMidCharacter(last))
		if !ok {
			return report, &ViolationError{Index: report.Tokens, Reason: fmt.Sprintf("text %.20q is no token", text)}
		}
		tokenSalt := Salt(id >> saltShift)
		if want := NextToken(prefix, last, tokenSalt); id != want {
			return report, &ViolationError{Index: report.Tokens, Reason: fmt.Sprintf("token %x does not follow its prefix", id)}
		}
		if salt >= 0 && int(tokenSalt) != salt {
			report.Seams = append(report.Seams, report.Tokens)
		}
		salt, last, text = int(tokenSalt), id, rest
		prefix = prefix.Append(id)
		report.Tokens++
	}
	if EndsMidCharacter(last) {
		return report, &ViolationError{Index: report.Tokens, Reason: "the answer ends within a character"}
	}
	return report, nil
}

// cutToken splits the next token off the text. With midChar, the token begins within a character, whose bytes were read with the previous token.
func cutToken(text string, midChar bool) (id vaneyoke.TokenID, rest string, ok bool) {
	if len(text) <= hexDigits {
		return 0, "", false
	}
	value, err := strconv.ParseUint(text[:hexDigits], 16, 32)
	if err != nil {
		return 0, "", false
	}
	id = vaneyoke.TokenID(generatedBit | int(value))
	if midChar {
		id |= startsMidCharBit
	}
	rest = text[hexDigits:]
	if after, ok := strings.CutPrefix(rest, " "); ok {
		return id, after, true
	}
	if after, ok := strings.CutPrefix(rest, splitChar); ok && !midChar {
		return id | endsMidCharBit, after, true
	}
	return 0, "", false
}
