package peer

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
)

const nonceBytes = 16

// newNonce returns random bytes from the system's cryptographic source.
func newNonce() []byte {
	nonce := make([]byte, nonceBytes)
	_, _ = rand.Read(nonce) // documented to never fail
	return nonce
}

// computeProof returns an HMAC-SHA256 that proves knowledge of the key for one
// side of one handshake. side is "dial" or "accept", host names the side that
// proves itself, first and second are the nonces. Each part is preceded by one
// byte with its length.
func computeProof(key, side, host string, first, second []byte) []byte {
	mac := hmac.New(sha256.New, []byte(key))
	for _, part := range [][]byte{[]byte(side), []byte(host), first, second} {
		mac.Write([]byte{byte(len(part))})
		mac.Write(part)
	}
	return mac.Sum(nil)
}

// verifyProof checks a proof against each accepted key and returns the key that
// matches.
func verifyProof(keys []string, side, host string, first, second, proof []byte) (string, bool) {
	for _, key := range keys {
		if key != "" && hmac.Equal(computeProof(key, side, host, first, second), proof) {
			return key, true
		}
	}
	return "", false
}
