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

// simulationWithHolder returns a simulation in which one host holds the right.
func simulationWithHolder(t require.TestingT, hosts int) *simulation {
	s := newSimulation(hosts)
	for range 14 {
		maxHolders, _ := s.tick(noFault)
		require.LessOrEqual(t, maxHolders, 1)
	}
	require.Len(t, s.holders(), 1, "a host acquires the right when nothing fails")
	return s
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
		s := simulationWithHolder(t, 2)
		rest := code
		var trace []fault
		for range rounds {
			injected := fault(rest % int(faultCount))
			rest /= int(faultCount)
			trace = append(trace, injected)
			s.injectInstant(injected)
			for range ticksPerRound {
				maxHolders, names := s.tick(injected)
				if maxHolders > 1 {
					require.Failf(t, "two holders", "faults %v: %v", trace, names)
				}
			}
		}
		for range 10 {
			maxHolders, names := s.tick(noFault)
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
		s := simulationWithHolder(t, 3)
		for range rapid.IntRange(1, 40).Draw(t, "rounds") {
			injected := fault(rapid.IntRange(0, int(faultCount)-1).Draw(t, "fault"))
			s.injectInstant(injected)
			for range rapid.IntRange(1, 5).Draw(t, "beats") {
				maxHolders, names := s.tick(injected)
				require.LessOrEqual(t, maxHolders, 1, "%v", names)
			}
		}
	})
}

// ticks runs the simulation for count ticks and returns in how many of them
// some host held the right.
func ticks(t *testing.T, s *simulation, injected fault, count int) int {
	held := 0
	s.injectInstant(injected)
	for range count {
		maxHolders, names := s.tick(injected)
		require.LessOrEqual(t, maxHolders, 1, "%v", names)
		if len(s.holders()) == 1 {
			held++
		}
	}
	return held
}

func TestRightThroughFaults(t *testing.T) {
	tests := map[string]struct {
		injected fault
		ticks    int
		// minHeld is in how many of the ticks some host must hold the right.
		minHeld int
	}{
		"kept through a long store outage while peers reach each other": {
			injected: storeDown,
			ticks:    200,
			minHeld:  200,
		},
		"kept while the store's answers are lost": {
			injected: answersLostFirst,
			ticks:    20,
			minHeld:  10,
		},
		"acquired by a peer when the holder pauses": {
			injected: pauseFirst,
			ticks:    20,
			minHeld:  8,
		},
		"acquired at once when the holder is proved dead": {
			injected: crashFirst,
			ticks:    14,
			minHeld:  11,
		},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := simulationWithHolder(t, 2)
			assert.GreaterOrEqual(t, ticks(t, s, test.injected, test.ticks), test.minHeld)
		})
	}
}

func TestRightOfHolderCutFromStoreAndPeersExpires(t *testing.T) {
	s := simulationWithHolder(t, 2)
	ticks(t, s, storeDownPeersCut, 12)
	assert.Empty(t, s.holders(), "a holder that reaches neither store nor peers loses the right")
}

func TestHandoverIsAcquiredAtOnce(t *testing.T) {
	s := simulationWithHolder(t, 2)
	predecessor, successor := s.hosts[0], s.hosts[1]
	if _, ok := predecessor.candidate.Holds(s.clock(predecessor)); !ok {
		predecessor, successor = successor, predecessor
	}
	epoch, held := predecessor.candidate.Yield(s.clock(predecessor))
	require.True(t, held)
	successor.candidate.HandedOver(epoch, s.clock(successor).Add(-100*time.Millisecond))
	ticks(t, s, noFault, 3)
	_, ok := successor.candidate.Holds(s.clock(successor))
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
			s := simulationWithHolder(t, 3)
			for _, step := range phases {
				ticks(t, s, step.injected, step.ticks)
			}
		})
	}
}

// TestHigherEpochForcesReacquisition has a worker report an epoch above the one
// held, as after a rollback of the store. The host must stop acting under the
// old epoch and acquire the right again above the reported one.
func TestHigherEpochForcesReacquisition(t *testing.T) {
	s := simulationWithHolder(t, 1)
	const reported = 50
	s.hosts[0].candidate.ObserveEpoch(reported)
	assert.Empty(t, s.holders(), "the host does not act under the old epoch")
	ticks(t, s, noFault, 16)
	require.Len(t, s.holders(), 1)
	assert.Greater(t, s.record.Epoch, uint64(reported))
}
