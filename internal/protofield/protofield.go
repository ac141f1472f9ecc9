// Package protofield appends and reads fields in the encoding of protocol buffers, for messages that have no generated code.
package protofield

import (
	"errors"

	"google.golang.org/protobuf/encoding/protowire"
)

// ErrMalformed says that bytes are not a message.
var ErrMalformed = errors.New("message is malformed")

// AppendBytes appends a field of bytes, which may be empty.
func AppendBytes(b []byte, field protowire.Number, value []byte) []byte {
	return protowire.AppendBytes(protowire.AppendTag(b, field, protowire.BytesType), value)
}

// AppendString appends a field of text, unless it is empty.
func AppendString(b []byte, field protowire.Number, text string) []byte {
	if text == "" {
		return b
	}
	return protowire.AppendString(protowire.AppendTag(b, field, protowire.BytesType), text)
}

// AppendCount appends a field of a count, unless it is 0 or negative.
func AppendCount(b []byte, field protowire.Number, n int64) []byte {
	return AppendNumber(b, field, uint64(max(n, 0))) //nolint:gosec // not negative
}

// AppendNumber appends a field of a number, unless it is 0.
func AppendNumber(b []byte, field protowire.Number, n uint64) []byte {
	if n == 0 {
		return b
	}
	return protowire.AppendVarint(protowire.AppendTag(b, field, protowire.VarintType), n)
}

// Each calls visit with the fields of a message that are numbers or bytes, and skips all others.
func Each(data []byte, visit func(field int, number uint64, bytes []byte) error) error {
	for len(data) > 0 {
		field, kind, size := protowire.ConsumeTag(data)
		if size < 0 {
			return ErrMalformed
		}
		data = data[size:]
		var number uint64
		var bytes []byte
		switch kind {
		case protowire.VarintType:
			number, size = protowire.ConsumeVarint(data)
		case protowire.BytesType:
			bytes, size = protowire.ConsumeBytes(data)
		default:
			size = protowire.ConsumeFieldValue(field, kind, data)
			field = 0
		}
		if size < 0 {
			return ErrMalformed
		}
		data = data[size:]
		if err := visit(int(field), number, bytes); err != nil {
			return err
		}
	}
	return nil
}
