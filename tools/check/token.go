package check

import (
	"hash/fnv"
	"strconv"
	"strings"

	"github.com/vaneyoke/vaneyoke"
)

// Layout of a generated token's id: flag bits, the attempt's salt and a digest of the prefix.
const (
	generatedBit     = 1 << 30
	endsMidCharBit   = 1 << 29 // the token's text ends within a character
	startsMidCharBit = 1 << 28 // the token's text begins within a character
	saltShift        = 20
	saltBits         = 8
	digestMask       = 1<<saltShift - 1
	lengthBit        = 1 << 24 // set in a prompt token that gives the length of the answer
	promptMask       = lengthBit - 1
	splitEvery       = 8 // one token in splitEvery ends within a character
	hexDigits        = 7
	splitChar        = "é"
)

// lengthPrefix starts a prompt word that sets after how many tokens the answer ends by itself.
const lengthPrefix = "length="

// Salt distinguishes the tokens of one attempt from those of another.
type Salt uint8

// PrefixHash is the hash of a prefix of token ids.
type PrefixHash uint64

// Append returns the hash of the prefix followed by one more token.
func (h PrefixHash) Append(id vaneyoke.TokenID) PrefixHash {
	x := uint64(h) ^ uint64(uint32(id))*0x9E3779B97F4A7C15
	x ^= x >> 29
	x *= 0xBF58476D1CE4E5B9
	x ^= x >> 32
	return PrefixHash(x)
}

// HashPrefix returns the hash of a prefix.
func HashPrefix(ids []vaneyoke.TokenID) PrefixHash {
	var h PrefixHash
	for _, id := range ids {
		h = h.Append(id)
	}
	return h
}

// NextToken returns the token that an attempt with the given salt generates after a prefix whose last token is last.
func NextToken(prefix PrefixHash, last vaneyoke.TokenID, salt Salt) vaneyoke.TokenID {
	digest := uint64(prefix.Append(vaneyoke.TokenID(salt))) & digestMask
	id := generatedBit | int(salt)<<saltShift | int(digest)
	switch {
	case EndsMidCharacter(last):
		id |= startsMidCharBit
	case digest%splitEvery == 0:
		id |= endsMidCharBit
	}
	return vaneyoke.TokenID(id)
}

// IsGenerated reports whether an id belongs to a generated token, and not to a prompt token.
func IsGenerated(id vaneyoke.TokenID) bool { return id&generatedBit != 0 }

// EndsMidCharacter reports whether a token's text ends within a character.
func EndsMidCharacter(id vaneyoke.TokenID) bool { return IsGenerated(id) && id&endsMidCharBit != 0 }

// AppendText appends the text of a generated token.
func AppendText(buf []byte, id vaneyoke.TokenID) []byte {
	if id&startsMidCharBit != 0 {
		buf = append(buf, splitChar[1:]...)
	}
	digits := strconv.FormatUint(uint64(id)&(1<<(saltShift+saltBits)-1), 16)
	for range hexDigits - len(digits) {
		buf = append(buf, '0')
	}
	buf = append(buf, digits...)
	if id&endsMidCharBit != 0 {
		return append(buf, splitChar[0])
	}
	return append(buf, ' ')
}

// Tokenize returns the token ids of a prompt, one for each word.
func Tokenize(prompt string) []vaneyoke.TokenID {
	var ids []vaneyoke.TokenID
	for word := range strings.FieldsSeq(prompt) {
		ids = append(ids, wordID(word))
	}
	return ids
}

func wordID(word string) vaneyoke.TokenID {
	if digits, ok := strings.CutPrefix(word, lengthPrefix); ok {
		if n, err := strconv.Atoi(digits); err == nil {
			return vaneyoke.TokenID(lengthBit | n&promptMask)
		}
	}
	h := fnv.New32a()
	_, _ = h.Write([]byte(word))
	return vaneyoke.TokenID(h.Sum32() & promptMask)
}

// AnswerLength returns after how many generated tokens an answer to the prefix ends by itself, and how many generated tokens the prefix contains already. ok is false if the prompt sets no length.
func AnswerLength(prefix []vaneyoke.TokenID) (length, generated vaneyoke.Tokens, ok bool) {
	for _, id := range prefix {
		switch {
		case IsGenerated(id):
			generated++
		case id&lengthBit != 0:
			length, ok = vaneyoke.Tokens(id&promptMask), true
		}
	}
	return length, generated, ok
}
