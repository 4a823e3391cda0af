package catalog

import (
	"crypto/sha256"
	"crypto/subtle"
	"encoding/binary"
)

// digest identifies a key. Keys themselves are not kept, so that no log line,
// metric or memory dump of a catalog contains one.
type digest [sha256.Size]byte

// Keys tells which organisation a key belongs to. The zero value has no keys. It
// is immutable.
type Keys struct {
	// byPrefix holds the keys by the first four bytes of their digests.
	byPrefix map[uint32][]ownedKey
}

type ownedKey struct {
	digest       digest
	organisation string
}

// NewKeys returns the keys of organisations, by name. The result says how many
// keys two or more organisations list: such a key belongs to none of them, since
// a guess would show one organisation's jobs to another. An empty key is ignored,
// because a call without a key has an empty one.
func NewKeys(byOrganisation map[string][]string) (keys Keys, ambiguous int) {
	owners := map[digest]string{}
	shared := map[digest]bool{}
	for organisation, list := range byOrganisation {
		for _, key := range list {
			if key == "" {
				continue
			}
			id := digest(sha256.Sum256([]byte(key)))
			owner, listed := owners[id]
			if listed && owner != organisation {
				shared[id] = true
			}
			owners[id] = organisation
		}
	}
	keys.byPrefix = make(map[uint32][]ownedKey, len(owners))
	for id, organisation := range owners {
		if !shared[id] {
			keys.byPrefix[id.prefix()] = append(keys.byPrefix[id.prefix()], ownedKey{
				digest:       id,
				organisation: organisation,
			})
		}
	}
	return keys, len(shared)
}

func (d *digest) prefix() uint32 {
	return binary.BigEndian.Uint32(d[:])
}

// Organisation returns the name of the organisation that a key belongs to. How
// long it takes depends on digests only: a caller cannot choose a digest to learn
// how much of it is right, and full digests are compared in constant time.
func (k Keys) Organisation(key string) (name string, known bool) {
	given := digest(sha256.Sum256([]byte(key)))
	for i := range k.byPrefix[given.prefix()] {
		candidate := &k.byPrefix[given.prefix()][i]
		if subtle.ConstantTimeCompare(candidate.digest[:], given[:]) == 1 {
			name, known = candidate.organisation, true
		}
	}
	return name, known
}
