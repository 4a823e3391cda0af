package budget

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"mustardreach.example/mustardreach/internal/process/golden"
)

func TestMain(m *testing.M) {
	golden.Main(m, 500)
}

// testBudget is a budget with a clock that the test sets.
type testBudget struct {
	*Budget
	now     time.Time
	evicted []Phase
}

// testBytes is the memory of a test's budget.
const testBytes = 100

func newTestBudget(connections int, reserve int64) *testBudget {
	b := &testBudget{
		now: time.Unix(1000, 0),
	}
	b.Budget = New(Config{
		Connections:   connections,
		Bytes:         testBytes,
		Reserve:       reserve,
		StallTime:     time.Second,
		ProgressBytes: 10,
		Evicted:       func(phase Phase) { b.evicted = append(b.evicted, phase) },
		Clock:         func() time.Time { return b.now },
	})
	return b
}

// open opens an account that is closed when it gives way.
func (b *testBudget) open(t require.TestingT) *Account {
	account, err := b.tryOpen()
	require.NoError(t, err)
	return account
}

func (b *testBudget) tryOpen() (account *Account, err error) {
	account, err = b.Open(func() { account.Close() })
	return account, err
}

// take takes bytes without waiting.
func take(a *Account, bytes int64, small bool) error {
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	return a.Take(ended, bytes, small)
}

func TestPlaces(t *testing.T) {
	tests := map[string]struct {
		// prepare sets up two connections of a budget of two.
		prepare func(b *testBudget, first, second *Account)
		want    []Phase
		// wantOpen says which of the two stay open.
		wantOpen [2]bool
		wantErr  error
	}{
		"the one that waited longest gives way": {
			prepare: func(b *testBudget, first, _ *Account) {
				b.now = b.now.Add(time.Millisecond)
				first.SetPhase(Waiting)
			},
			want:     []Phase{Waiting},
			wantOpen: [2]bool{true, false},
		},
		"one that waits gives way before one that is stalled": {
			prepare: func(b *testBudget, first, second *Account) {
				first.SetPhase(Receiving)
				b.now = b.now.Add(time.Hour)
				second.SetPhase(Waiting)
			},
			want:     []Phase{Waiting},
			wantOpen: [2]bool{true, false},
		},
		"of two stalled ones, the one that holds more gives way": {
			prepare: func(b *testBudget, first, second *Account) {
				first.SetPhase(Receiving)
				second.SetPhase(Receiving)
				_ = take(second, 50, false)
				b.now = b.now.Add(time.Second)
			},
			want:     []Phase{Receiving},
			wantOpen: [2]bool{true, false},
		},
		"one that makes progress does not give way": {
			prepare: func(b *testBudget, first, second *Account) {
				first.SetPhase(Receiving)
				second.SetPhase(Sending)
				b.now = b.now.Add(time.Second)
				first.Progress(10)
			},
			want:     []Phase{Sending},
			wantOpen: [2]bool{true, false},
		},
		"a few bytes are no progress": {
			prepare: func(b *testBudget, first, second *Account) {
				first.SetPhase(Receiving)
				second.SetPhase(Serving)
				b.now = b.now.Add(time.Second)
				first.Progress(9)
			},
			want:     []Phase{Receiving},
			wantOpen: [2]bool{false, true},
		},
		"one that is served never gives way": {
			prepare: func(b *testBudget, first, second *Account) {
				first.SetPhase(Serving)
				second.SetPhase(Serving)
				b.now = b.now.Add(time.Hour)
			},
			wantOpen: [2]bool{true, true},
			wantErr:  ErrFull,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			b := newTestBudget(2, 0)
			first, second := b.open(t), b.open(t)
			tt.prepare(b, first, second)
			_, err := b.tryOpen()
			require.ErrorIs(t, err, tt.wantErr)
			assert.Equal(t, tt.want, b.evicted)
			assert.Equal(t, tt.wantOpen, [2]bool{first.open, second.open})
		})
	}
}

// Small requests find room when large ones have used up theirs.
func TestReserveIsForSmallRequests(t *testing.T) {
	b := newTestBudget(3, 30)
	large, small := b.open(t), b.open(t)
	require.NoError(t, take(large, 70, false))
	require.ErrorIs(t, take(large, 1, false), ErrFull)
	require.NoError(t, take(small, 30, true))
	require.ErrorIs(t, take(small, 1, true), ErrFull)
}

// Memory of a connection that gave way is used again when its handler has
// returned it, not before.
func TestMemoryThatIsLeavingIsWaitedFor(t *testing.T) {
	b := newTestBudget(3, 0)
	stalled, asker := b.open(t), b.open(t)
	stalled.SetPhase(Receiving)
	stalled.BeginRequest()
	require.NoError(t, take(stalled, 100, false))
	b.now = b.now.Add(time.Second)
	granted := make(chan error)
	go func() { granted <- asker.Take(context.Background(), 60, false) }()
	require.Eventually(t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.waiters) == 1 && !stalled.open
	}, time.Minute, time.Millisecond)
	now, _ := b.Use()
	assert.EqualValues(t, 100, now.Bytes)
	stalled.EndRequest()
	require.NoError(t, <-granted)
	now, _ = b.Use()
	assert.EqualValues(t, 60, now.Bytes)
}

// A wait ends when its own connection is closed, and leaves nothing behind.
func TestWaitEndsWithItsConnection(t *testing.T) {
	b := newTestBudget(3, 0)
	stalled, asker := b.open(t), b.open(t)
	stalled.SetPhase(Receiving)
	stalled.BeginRequest()
	require.NoError(t, take(stalled, 100, false))
	b.now = b.now.Add(time.Second)
	waiting, victims, err := asker.request(60, false)
	require.NoError(t, err)
	require.Equal(t, []*Account{stalled}, victims)
	asker.Close()
	<-waiting.done
	assert.True(t, waiting.denied)
	stalled.EndRequest()
	now, _ := b.Use()
	assert.Equal(t, Use{}, now)
}

// Whatever connections do, granted memory and places never exceed the budget, all
// is given back, and nobody waits without somebody's memory on its way back.
func TestBudgetIsKept(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			budget: newTestBudget(rapid.IntRange(1, 5).Draw(t, "connections"), rapid.Int64Range(0, 60).Draw(t, "reserve")),
		}
		t.Repeat(map[string]func(*rapid.T){
			"":        m.check,
			"arrive":  m.arrive,
			"take":    m.take,
			"phase":   m.phase,
			"receive": m.receive,
			"end":     m.end,
			"close":   m.close,
			"give up": m.giveUp,
			"pass":    m.pass,
		})
		m.finish(t)
	})
}

// machine is a budget with connections that do anything.
type machine struct {
	budget   *testBudget
	accounts []*Account
	waits    []*waiter
}

func (m *machine) any(t *rapid.T) *Account {
	if len(m.accounts) == 0 {
		t.Skip("no connection")
	}
	return rapid.SampledFrom(m.accounts).Draw(t, "account")
}

func (m *machine) arrive(*rapid.T) {
	if account, err := m.budget.tryOpen(); err == nil {
		m.accounts = append(m.accounts, account)
	}
}

func (m *machine) take(t *rapid.T) {
	waiting, victims, _ := m.any(t).request(rapid.Int64Range(1, 60).Draw(t, "bytes"), rapid.Bool().Draw(t, "small"))
	for _, victim := range victims {
		m.budget.evict(victim)
	}
	if waiting != nil {
		m.waits = append(m.waits, waiting)
	}
}

func (m *machine) phase(t *rapid.T) {
	account := m.any(t)
	if rapid.Bool().Draw(t, "handled") {
		account.BeginRequest()
	}
	account.SetPhase(rapid.SampledFrom([]Phase{Waiting, Receiving, Serving, Sending}).Draw(t, "phase"))
}

func (m *machine) receive(t *rapid.T) {
	m.any(t).Progress(rapid.IntRange(1, 20).Draw(t, "bytes"))
}

func (m *machine) end(t *rapid.T) {
	m.any(t).EndRequest()
}

func (m *machine) close(t *rapid.T) {
	m.any(t).Close()
}

func (m *machine) giveUp(t *rapid.T) {
	if len(m.waits) == 0 {
		t.Skip("no wait")
	}
	waiting := rapid.SampledFrom(m.waits).Draw(t, "wait")
	ended, cancel := context.WithCancel(context.Background())
	cancel()
	_ = waiting.account.withdraw(ended, waiting)
}

func (m *machine) pass(t *rapid.T) {
	m.budget.now = m.budget.now.Add(time.Duration(rapid.IntRange(1, 2000).Draw(t, "ms")) * time.Millisecond)
}

func (m *machine) check(t *rapid.T) {
	b := m.budget
	held, leaving, asked := int64(0), int64(0), int64(0)
	for _, account := range m.accounts {
		held += account.held
		if !account.open {
			leaving += account.held
		}
		if !account.open && !account.handled && account.held > 0 {
			t.Fatalf("a closed connection without a handler holds %d bytes", account.held)
		}
	}
	for _, waiting := range b.waiters {
		asked += waiting.bytes
		if !waiting.account.open {
			t.Fatal("a closed connection waits")
		}
	}
	switch {
	case held != b.granted || leaving != b.leaving:
		t.Fatalf("accounts hold %d (%d leaving), the budget says %d (%d)", held, leaving, b.granted, b.leaving)
	case b.granted > b.config.Bytes:
		t.Fatalf("%d bytes granted of %d", b.granted, b.config.Bytes)
	case len(b.accounts) > b.config.Connections:
		t.Fatalf("%d connections of %d", len(b.accounts), b.config.Connections)
	case len(b.waiters) > 0 && b.granted == 0:
		t.Fatalf("waits for %d bytes although all memory is free", asked)
	}
}

// finish ends all requests and closes all connections.
func (m *machine) finish(t *rapid.T) {
	for _, account := range m.accounts {
		account.EndRequest()
		account.Close()
	}
	m.check(t)
	now, _ := m.budget.Use()
	if now != (Use{}) {
		t.Fatalf("%+v is still used", now)
	}
	for _, waiting := range m.waits {
		select {
		case <-waiting.done:
		default:
			if len(m.budget.waiters) > 0 {
				t.Fatal("a wait has no end")
			}
		}
	}
}
