package readall_test

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"

	"github.com/shoenig/test/must"

	"github.com/vaneyoke/vaneyoke/internal/readall"
)

// account records what is reserved, and refuses more than it may hold.
type account struct{ held, most, limit int }

var errFull = errors.New("full")

func (a *account) memory() readall.Memory {
	return readall.Memory{
		Reserve: func(n int) error {
			if a.held+n > a.limit {
				return errFull
			}
			a.held += n
			a.most = max(a.most, a.held)
			return nil
		},
		Release: func(n int) { a.held -= n },
	}
}

// Guards against a body whose memory is allocated before it is reserved, or which is not read whole.
func TestBodyTakesMoreThanIsReserved(t *testing.T) {
	for _, size := range []int{0, 1, 4 << 10, 4<<10 + 1, 100_000, 1 << 20} {
		for name, wrap := range map[string]func(io.Reader) io.Reader{
			"whole": func(r io.Reader) io.Reader { return r }, "halves": iotest.HalfReader, "the end with data": iotest.DataErrReader,
		} {
			text := bytes.Repeat([]byte{'x'}, size)
			a := &account{limit: 4 << 20}
			body, err := readall.Read(wrap(bytes.NewReader(text)), max(size, 1), a.memory())
			must.NoError(t, err, must.Sprint(name, size))
			must.True(t, bytes.Equal(text, body))
			must.EqOp(t, a.held, cap(body))
			must.LessEq(t, max(2*size, 4<<10), a.most)
		}
	}
}

// Guards against a body that is read past its bound, or past the memory that there is for it.
func TestBodyIsReadPastItsBound(t *testing.T) {
	a := &account{limit: 1 << 20}
	endless := &countedReader{}
	body, err := readall.Read(endless, 100_000, a.memory())
	must.ErrorContains(t, err, "more than 100000 bytes")
	must.EqOp(t, 100_000, len(body))
	must.EqOp(t, 100_001, endless.read)
	_, err = readall.Read(&countedReader{}, 1<<30, a.memory())
	must.ErrorIs(t, err, errFull)
	must.LessEq(t, 1<<20, a.most)
	_, err = readall.Read(iotest.ErrReader(io.ErrUnexpectedEOF), 10, a.memory())
	must.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// countedReader has no end, and counts what is read.
type countedReader struct{ read int }

func (r *countedReader) Read(p []byte) (int, error) {
	r.read += len(p)
	return len(p), nil
}
