package peer

import (
	"bytes"
	"errors"
	"fmt"
	"io"

	"github.com/gobwas/ws"
)

var (
	errIncomplete = errors.New("frame incomplete")
	// ErrFrame means that a frame violates the protocol or a size limit.
	ErrFrame = errors.New("bad frame")
)

// cutFrame reads one binary frame from the front of the buffer. It returns the
// payload as a copy and the number of bytes that the frame occupies. Errors:
// errIncomplete, ErrFrame.
func cutFrame(buffer []byte, maxBytes int) (payload []byte, consumed int, err error) {
	reader := bytes.NewReader(buffer)
	header, err := ws.ReadHeader(reader)
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) {
		return nil, 0, errIncomplete
	}
	switch {
	case err != nil:
		return nil, 0, fmt.Errorf("%w: cannot read header: %v", ErrFrame, err)
	case header.Length > int64(maxBytes):
		return nil, 0, fmt.Errorf("%w: payload of %d bytes, limit is %d", ErrFrame, header.Length, maxBytes)
	case header.OpCode != ws.OpBinary || !header.Fin:
		return nil, 0, fmt.Errorf("%w: opcode %d, only unfragmented binary frames are accepted", ErrFrame, header.OpCode)
	}
	start := len(buffer) - reader.Len()
	end := start + int(header.Length)
	if end > len(buffer) {
		return nil, 0, errIncomplete
	}
	payload = bytes.Clone(buffer[start:end])
	if header.Masked {
		ws.Cipher(payload, header.Mask, 0)
	}
	return payload, end, nil
}

// encodeFrame encodes one binary frame; the client side masks its payload, as
// WebSocket requires.
func encodeFrame(payload []byte, client bool) []byte {
	frame := ws.NewBinaryFrame(payload)
	if client {
		frame = ws.MaskFrame(frame)
	}
	encoded := bytes.NewBuffer(make([]byte, 0, len(payload)+ws.MaxHeaderSize))
	_ = ws.WriteFrame(encoded, frame) // writing to a buffer cannot fail
	return encoded.Bytes()
}
