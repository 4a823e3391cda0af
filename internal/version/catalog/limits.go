package catalog

import "time"

// Limits bound what a caller may send with one request, and how long it may take.
// A limit of zero or less counts as not set.
type Limits struct {
	// HeaderBytes is the largest header, BodyBytes the largest body.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the time from the first byte of a request to the end of its
	// header, IdleTimeout the time between an answer and the next request.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// DefaultLimits hold where the operators set none.
var DefaultLimits = Limits{
	HeaderBytes:   32 << 10,
	BodyBytes:     256 << 10,
	HeaderTimeout: 3 * time.Second,
	IdleTimeout:   time.Minute,
}

// WithDefaults returns the limits with the default of each that is not set.
func (l Limits) WithDefaults() Limits {
	return Limits{
		HeaderBytes:   orDefault(l.HeaderBytes, DefaultLimits.HeaderBytes),
		BodyBytes:     orDefault(l.BodyBytes, DefaultLimits.BodyBytes),
		HeaderTimeout: orDefault(l.HeaderTimeout, DefaultLimits.HeaderTimeout),
		IdleTimeout:   orDefault(l.IdleTimeout, DefaultLimits.IdleTimeout),
	}
}

func orDefault[T int | int64 | time.Duration](value, preset T) T {
	if value <= 0 {
		return preset
	}
	return value
}
