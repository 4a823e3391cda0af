package shard

import "mustardreach.example/mustardreach/internal/connection/worker"

// MaxPieces limits the published pieces of a service. Each shard reads those of all
// others twice a second.
const MaxPieces = 16

// Piece is the capacity of one worker that is neither claimed nor reserved.
type Piece struct {
	Size worker.Size `cbor:"1,keyasint"`
	// Labels are those of the worker.
	Labels []string `cbor:"2,keyasint,omitempty"`
}
