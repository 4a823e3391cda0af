package right

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/process/golden"
)

func TestMain(m *testing.M) {
	golden.Main(m, 1500)
}

// worldWithHolder returns a world in which one host holds the right.
func worldWithHolder(t require.TestingT, hosts int) *world {
	w := newWorld(hosts)
	for range 14 {
		maxHolders, _ := w.tick(noFault)
		require.LessOrEqual(t, maxHolders, 1)
	}
	require.Len(t, w.holders(), 1, "a host acquires the right when nothing fails")
	return w
}

// TestNeverTwoHoldersExhaustively guards against two hosts holding the right at
// once. It runs every sequence of four faults in a zone of two hosts whose
// clocks drift apart.
func TestNeverTwoHoldersExhaustively(t *testing.T) {
	const rounds = 4
	total := 1
	for range rounds {
		total *= int(faultCount)
	}
	for code := range total {
		w := worldWithHolder(t, 2)
		rest := code
		var trace []fault
		for range rounds {
			injected := fault(rest % int(faultCount))
			rest /= int(faultCount)
			trace = append(trace, injected)
			w.injectInstant(injected)
			for range ticksPerRound {
				maxHolders, names := w.tick(injected)
				if maxHolders > 1 {
					require.Failf(t, "two holders", "faults %v: %v", trace, names)
				}
			}
		}
		for range 10 {
			maxHolders, names := w.tick(noFault)
			if maxHolders > 1 {
				require.Failf(t, "two holders after healing", "faults %v: %v", trace, names)
			}
		}
	}
}

// TestNeverTwoHolders guards against the same failure with longer random
// sequences of faults in a zone of three hosts.
func TestNeverTwoHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := worldWithHolder(t, 3)
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			injected := fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
			w.injectInstant(injected)
			for range rapid.IntRange(1, 5).Draw(t, "beats") {
				maxHolders, names := w.tick(injected)
				require.LessOrEqual(t, maxHolders, 1, "%v", names)
			}
		}
	})
}

// ticks runs the world for count ticks and returns in how many of them some
// host held the right.
func ticks(t *testing.T, w *world, injected fault, count int) int {
	held := 0
	w.injectInstant(injected)
	for range count {
		maxHolders, names := w.tick(injected)
		require.LessOrEqual(t, maxHolders, 1, "%v", names)
		if len(w.holders()) == 1 {
			held++
		}
	}
	return held
}

func TestRightThroughFaults(t *testing.T) {
	tests := map[string]struct {
		injected fault
		ticks    int
		// leastHeld is in how many of the ticks some host must hold the right.
		leastHeld int
	}{
		"kept through a long store outage while peers reach each other": {
			injected:  storeDown,
			ticks:     200,
			leastHeld: 200,
		},
		"kept while the store's answers are lost": {
			injected:  answersLostFirst,
			ticks:     20,
			leastHeld: 10,
		},
		"acquired by a peer when the holder pauses": {
			injected:  pauseFirst,
			ticks:     20,
			leastHeld: 8,
		},
		"acquired at once when the holder is proved dead": {
			injected:  crashFirst,
			ticks:     14,
			leastHeld: 11,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			w := worldWithHolder(t, 2)
			assert.GreaterOrEqual(t, ticks(t, w, test.injected, test.ticks), test.leastHeld)
		})
	}
}

func TestHolderCutFromStoreAndPeersLapses(t *testing.T) {
	w := worldWithHolder(t, 2)
	ticks(t, w, storeDownPeersCut, 12)
	assert.Empty(t, w.holders(), "a holder that reaches neither store nor peers lapses")
}

func TestHandoverIsAcquiredAtOnce(t *testing.T) {
	w := worldWithHolder(t, 2)
	predecessor, successor := w.hosts[0], w.hosts[1]
	if _, ok := predecessor.candidate.Holds(w.clock(predecessor)); !ok {
		predecessor, successor = successor, predecessor
	}
	epoch, held := predecessor.candidate.Yield(w.clock(predecessor))
	require.True(t, held)
	successor.candidate.HandedOver(epoch, w.clock(successor).Add(-100*time.Millisecond))
	ticks(t, w, noFault, 3)
	_, ok := successor.candidate.Holds(w.clock(successor))
	assert.True(t, ok, "the successor does not wait for the term")
}

func TestRecordRoundTrip(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		record := Record{
			Epoch:    rapid.Uint64().Draw(t, "epoch"),
			WriteSeq: rapid.Uint64().Draw(t, "beat"),
		}
		decoded, err := DecodeRecord(record.Encode())
		require.NoError(t, err)
		require.Equal(t, record.Fence(), decoded.Fence())
	})
	_, err := DecodeRecord([]byte("{"))
	require.ErrorIs(t, err, ErrRecord)
}

// phase is a fault that lasts for some ticks.
type phase struct {
	injected fault
	ticks    int
}

// TestSequencesThatLedToTwoHolders runs sequences of faults in which two hosts
// once held the right at the same time.
func TestSequencesThatLedToTwoHolders(t *testing.T) {
	tests := map[string][]phase{
		"an acquisition is hidden by a store rollback between two polls": {
			{injected: storeCutFirst, ticks: 4},
			{injected: noFault, ticks: 1},
			{injected: pauseSecond, ticks: 5},
			{injected: storeRolledBack, ticks: 1},
		},
		"an old renewal counts again after two store rollbacks": {
			{injected: storeCutFirst, ticks: 3},
			{injected: pauseSecond, ticks: 1},
			{injected: storeRolledBack, ticks: 2},
			{injected: storeRolledBack, ticks: 1},
		},
		"a renewal that was applied unseen named more candidates": {
			{injected: pauseFirst, ticks: 3},
			{injected: writesLateFirst, ticks: 3},
			{injected: storeCutFirst, ticks: 4},
			{injected: pauseFirst, ticks: 5},
			{injected: storeDown, ticks: 1},
		},
	}
	for name, phases := range tests {
		t.Run(name, func(t *testing.T) {
			w := worldWithHolder(t, 3)
			for _, step := range phases {
				ticks(t, w, step.injected, step.ticks)
			}
		})
	}
}

// TestHigherEpochForcesReacquisition has a worker report an epoch above the one
// held, as after a rollback of the store. The host must stop acting under the
// old epoch and acquire the right again above the reported one.
func TestHigherEpochForcesReacquisition(t *testing.T) {
	w := worldWithHolder(t, 1)
	const reported = 50
	w.hosts[0].candidate.ObserveEpoch(reported)
	assert.Empty(t, w.holders(), "the host does not act under the old epoch")
	ticks(t, w, noFault, 16)
	require.Len(t, w.holders(), 1)
	assert.Greater(t, w.record.Epoch, uint64(reported))
}
