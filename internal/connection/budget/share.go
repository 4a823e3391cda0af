package budget

import "time"

// Shares of a process's limits for its callers. The rest of the memory is for the
// leadership, peers, the store, workers and what a garbage collection frees too
// late; the rest of the descriptors for the same parts.
const (
	memoryShare     = 0.25
	descriptorShare = 0.2
	// storeShare is the share of the descriptors for calls to the store that
	// requests of callers make; minStoreCalls is the least number of them.
	storeShare    = 0.05
	minStoreCalls = 8
	// placeShare is the part of the callers' memory that their connections have
	// beside requests.
	placeShare = 0.5
	// reserveShare is the part of the memory for requests that only small ones
	// may use.
	reserveShare = 0.25
	// placeBytes is what a connection has beside its requests: buffers of the
	// server and of the kernel, stacks, a small header and a small body.
	placeBytes = 64 << 10
)

// Limits of a process without settings for them.
const (
	DefaultMemory      = 512 << 20
	DefaultDescriptors = 4096
)

const (
	// A body of 256 KiB that takes longer than 250 ms for 16 KiB is not complete
	// within four seconds, when its caller no longer waits.
	stallTime     = 250 * time.Millisecond
	progressBytes = 16 << 10
)

// ForProcess returns the configuration, without functions, of the budget for the
// callers of a process that may use the memory and the descriptors for
// connections. Zero means that there is no setting.
func ForProcess(memory int64, descriptors int) Config {
	if memory <= 0 {
		memory = DefaultMemory
	}
	if descriptors <= 0 {
		descriptors = DefaultDescriptors
	}
	callers := memoryShare * float64(memory)
	requests := (1 - placeShare) * callers
	return Config{
		Connections:   max(1, min(int(descriptorShare*float64(descriptors)), int(placeShare*callers/placeBytes))),
		Bytes:         int64(requests),
		Reserve:       int64(reserveShare * requests),
		StallTime:     stallTime,
		ProgressBytes: progressBytes,
	}
}

// StoreCalls returns how many calls to the store the requests of callers may have in
// progress in a process that may use the descriptors for connections.
func StoreCalls(descriptors int) int {
	return max(minStoreCalls, int(storeShare*float64(descriptors)))
}

// ForProbes returns the configuration, without functions, of the budget of an
// address that only operators and the platform call. Its memory has room for a few
// release notes.
func ForProbes() Config {
	return Config{
		Connections:   32,
		Bytes:         4 << 20,
		StallTime:     stallTime,
		ProgressBytes: progressBytes,
	}
}
