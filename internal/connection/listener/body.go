package listener

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"slices"
	"time"

	"mustardreach.example/mustardreach/internal/connection/budget"
)

// Errors of a body.
var (
	// ErrTooLarge means that a body exceeds its limit.
	ErrTooLarge = errors.New("body too large")
	// ErrTooSlow means that a body was not complete by its deadline.
	ErrTooSlow = errors.New("body not complete in time")
	// ErrNoMemory means that there is no memory for a body at present.
	ErrNoMemory = errors.New("no memory for the body")
	// ErrBroken means that a body was cut off or is malformed.
	ErrBroken = errors.New("body cut off or malformed")
)

// Status returns the status that answers an error of a body.
func Status(err error) int {
	switch {
	case errors.Is(err, ErrTooLarge):
		return http.StatusRequestEntityTooLarge
	case errors.Is(err, ErrTooSlow):
		return http.StatusRequestTimeout
	case errors.Is(err, ErrNoMemory):
		return http.StatusServiceUnavailable
	}
	return http.StatusBadRequest
}

const (
	// smallPieceBytes is the size of the first parts of a body, pieceBytes that of
	// the others. The connection's own memory includes the first part.
	smallPieceBytes = 4 << 10
	pieceBytes      = 16 << 10
	// smallBodyBytes is the largest body of a small request.
	smallBodyBytes = 2 * smallPieceBytes
)

// Body is a body that has been received in full. The memory that its account has
// been granted is returned at the end of the request.
type Body struct {
	pieces  [][]byte
	bytes   int64
	account *budget.Account
}

// ReadBody receives the body of a request. Memory is taken as bytes arrive.
// A request that no Listener serves has no budget. Errors: ErrTooLarge, ErrTooSlow,
// ErrNoMemory, ErrBroken. After an error the connection closes.
func ReadBody(writer http.ResponseWriter, request *http.Request, maxBytes int64, deadline time.Time) (*Body, error) {
	c := connOf(request)
	if c == nil {
		c = &conn{}
	}
	body := &Body{
		account: c.account,
	}
	if request.ContentLength == 0 {
		return body, nil
	}
	if request.ContentLength > maxBytes {
		c.stopReading()
		writer.Header().Set("Connection", "close")
		return nil, ErrTooLarge
	}
	c.enter(budget.Receiving, deadline)
	ctx, cancel := context.WithDeadline(request.Context(), deadline)
	defer cancel()
	err := body.receive(ctx, http.MaxBytesReader(writer, request.Body, maxBytes), request.ContentLength)
	if err == nil {
		c.enter(budget.Serving, time.Time{})
		return body, nil
	}
	c.stopReading()
	writer.Header().Set("Connection", "close")
	return nil, bodyError(err)
}

// bodyError returns the error of this package for one of net/http.
func bodyError(err error) error {
	var tooLarge *http.MaxBytesError
	var timeout net.Error
	switch {
	case errors.As(err, &tooLarge):
		return ErrTooLarge
	case errors.Is(err, budget.ErrFull), errors.Is(err, budget.ErrClosed):
		return ErrNoMemory
	case errors.As(err, &timeout) && timeout.Timeout(), errors.Is(err, context.DeadlineExceeded):
		return ErrTooSlow
	}
	return ErrBroken
}

// receive reads until the end of the body. The length is -1 if it is not known.
func (b *Body) receive(ctx context.Context, reader io.Reader, length int64) error {
	for {
		size := int64(smallPieceBytes)
		if b.bytes >= smallBodyBytes {
			size = pieceBytes
		}
		if length >= 0 {
			size = min(size, length-b.bytes+1) // one more, to see the end
		}
		if b.bytes > 0 {
			if err := b.account.Take(ctx, size, b.bytes+size <= smallBodyBytes+1); err != nil {
				return err
			}
		}
		piece, err := readPiece(reader, size)
		b.pieces = append(b.pieces, piece)
		b.bytes += int64(len(piece))
		if errors.Is(err, io.EOF) {
			return nil
		}
		if err != nil {
			return err
		}
	}
}

// readPiece reads up to a size. The error is that of the reader: io.ReadFull does
// not tell the end of a body from one that was cut off.
func readPiece(reader io.Reader, size int64) ([]byte, error) {
	piece := make([]byte, 0, size)
	for len(piece) < cap(piece) {
		n, err := reader.Read(piece[len(piece):cap(piece)])
		piece = piece[:len(piece)+n]
		if err != nil {
			return piece, err
		}
	}
	return piece, nil
}

// Len returns the number of bytes.
func (b *Body) Len() int64 {
	return b.bytes
}

// Small reports whether the body belongs to a small request.
func (b *Body) Small() bool {
	return b.bytes <= smallBodyBytes
}

// Take takes memory for what is made of the body. It waits until the end of the
// context. Errors: ErrNoMemory.
func (b *Body) Take(ctx context.Context, bytes int64) error {
	if err := b.account.Take(ctx, bytes, b.Small()); err != nil {
		return ErrNoMemory
	}
	return nil
}

// Bytes returns the bytes in one piece, for which it takes memory until the end of
// the context. Errors: ErrNoMemory.
func (b *Body) Bytes(ctx context.Context) ([]byte, error) {
	if len(b.pieces) == 1 {
		return b.pieces[0], nil
	}
	if err := b.Take(ctx, b.bytes); err != nil {
		return nil, err
	}
	return slices.Concat(b.pieces...), nil
}

// Reader returns a reader of the bytes.
func (b *Body) Reader() io.Reader {
	return &bodyReader{
		pieces: slices.Clone(b.pieces),
	}
}

type bodyReader struct {
	pieces [][]byte
}

// Read implements io.Reader.
func (r *bodyReader) Read(buffer []byte) (int, error) {
	for len(r.pieces) > 0 && len(r.pieces[0]) == 0 {
		r.pieces = r.pieces[1:]
	}
	if len(r.pieces) == 0 {
		return 0, io.EOF
	}
	n := copy(buffer, r.pieces[0])
	r.pieces[0] = r.pieces[0][n:]
	return n, nil
}
