package peer

import (
	"bytes"
	"errors"
	"io"
	"time"

	"github.com/gobwas/ws"
	"github.com/panjf2000/gnet/v2"

	"mustardreach.example/mustardreach/internal/connection/message"
)

// maxUpgradeBytes bounds the HTTP upgrade request of the handshake.
const maxUpgradeBytes = 8 << 10

// incoming is the state of an accepted connection.
type incoming struct {
	upgraded bool
	nonce    []byte
	// from is set once the peer has authenticated.
	from          message.Info
	authenticated bool
}

// OnOpen implements gnet.EventHandler.
func (h *Hub) OnOpen(conn gnet.Conn) ([]byte, gnet.Action) {
	conn.SetContext(&incoming{
		nonce: newNonce(),
	})
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.unauthenticated) >= maxUnauthenticated {
		return nil, h.reject("too_many")
	}
	h.unauthenticated[conn] = h.config.Clock()
	return nil, gnet.None
}

// OnClose implements gnet.EventHandler.
func (h *Hub) OnClose(conn gnet.Conn, _ error) gnet.Action {
	h.mu.Lock()
	defer h.mu.Unlock()
	delete(h.unauthenticated, conn)
	return gnet.None
}

// maxUnauthenticated is how many connections may be authenticating at a time. A host
// that is refused dials again.
const maxUnauthenticated = 256

// proofTimeout is how long an accepted connection may take to authenticate.
const proofTimeout = 3 * time.Second

// OnTick implements gnet.EventHandler: it closes connections that do not
// authenticate in time, so that clients without the key cannot accumulate open
// connections.
func (h *Hub) OnTick() (time.Duration, gnet.Action) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.config.Clock()
	for conn, opened := range h.unauthenticated {
		if now.Sub(opened) > proofTimeout {
			h.config.Counts.Add("refused_slow", 1)
			delete(h.unauthenticated, conn)
			_ = conn.Close()
		}
	}
	return proofTimeout / 3, gnet.None
}

// OnTraffic implements gnet.EventHandler.
func (h *Hub) OnTraffic(conn gnet.Conn) gnet.Action {
	state, ok := conn.Context().(*incoming)
	if !ok {
		return gnet.Close
	}
	if !state.upgraded {
		return h.upgrade(conn, state)
	}
	return h.readFrames(conn, state)
}

// memoryConn lets the WebSocket library read the upgrade request from a buffer
// and write its response to another.
type memoryConn struct {
	io.Reader
	io.Writer
}

// upgrade answers the HTTP upgrade request, once it is complete, and sends the
// challenge.
func (h *Hub) upgrade(conn gnet.Conn, state *incoming) gnet.Action {
	buffered, _ := conn.Peek(-1)
	end := bytes.Index(buffered, []byte("\r\n\r\n"))
	if end < 0 {
		if len(buffered) > maxUpgradeBytes {
			return h.reject("handshake_long")
		}
		return gnet.None
	}
	request := buffered[:end+4]
	var reply bytes.Buffer
	_, err := ws.Upgrader{}.Upgrade(memoryConn{
		Reader: bytes.NewReader(request),
		Writer: &reply,
	})
	if err != nil {
		_, _ = conn.Write(reply.Bytes())
		return h.reject("handshake_bad")
	}
	_, _ = conn.Discard(len(request))
	challenge, _ := message.Encode(message.KindChallenge, message.Challenge{
		Nonce: state.nonce,
	})
	_, _ = conn.Write(append(reply.Bytes(), encodeFrame(challenge, false)...))
	state.upgraded = true
	return h.readFrames(conn, state)
}

// readFrames handles all complete frames that are buffered.
func (h *Hub) readFrames(conn gnet.Conn, state *incoming) gnet.Action {
	for {
		buffered, _ := conn.Peek(-1)
		limit := h.config.FrameBytes
		if !state.authenticated {
			limit = min(limit, maxHandshakeBytes)
		}
		payload, consumed, err := cutFrame(buffered, limit)
		if errors.Is(err, errIncomplete) {
			return gnet.None
		}
		if err != nil {
			return h.reject("frame_bad")
		}
		_, _ = conn.Discard(consumed)
		h.config.Counts.Add("bytes_in", int64(consumed))
		envelope, err := message.Decode(payload)
		if err != nil {
			return h.reject("message_bad")
		}
		if !state.authenticated {
			if action := h.acceptHello(conn, state, envelope); action != gnet.None {
				return action
			}
			continue
		}
		h.post(Event{
			From:     state.from,
			Envelope: envelope,
		})
	}
}

// acceptHello verifies the proof of the dialling side and answers with this
// host's own proof.
func (h *Hub) acceptHello(conn gnet.Conn, state *incoming, envelope message.Envelope) gnet.Action {
	hello, err := message.Open[message.Hello](envelope)
	if err != nil || envelope.Kind != message.KindHello {
		return h.reject("stranger")
	}
	key, ok := verifyProof(h.config.Keys, "dial", hello.Info.Host, state.nonce, hello.Nonce, hello.Proof)
	if !ok {
		return h.reject("stranger")
	}
	state.from, state.authenticated = hello.Info, true
	h.mu.Lock()
	delete(h.unauthenticated, conn)
	h.mu.Unlock()
	reply, _ := message.Encode(message.KindWelcome, message.Welcome{
		Info:  h.config.Self,
		Proof: computeProof(key, "accept", h.config.Self.Host, hello.Nonce, state.nonce),
	})
	_, _ = conn.Write(encodeFrame(reply, false))
	return gnet.None
}

// reject counts a refused connection and closes it.
func (h *Hub) reject(reason string) gnet.Action {
	h.config.Counts.Add("refused_"+reason, 1)
	return gnet.Close
}
