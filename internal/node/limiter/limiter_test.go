package limiter

import (
	"fmt"
	"testing"
	"time"
)

// testClock is a time that a test moves on.
type testClock struct {
	now time.Time
}

func newTestClock() *testClock {
	return &testClock{
		now: time.Unix(1, 0),
	}
}

func (testClock *testClock) read() time.Time {
	return testClock.now
}

func (testClock *testClock) advance(by time.Duration) {
	testClock.now = testClock.now.Add(by)
}

// newLimiter returns a limiter for which memory is free as soon as it is given back.
func newLimiter(maxBytes int64) *Limiter {
	limiter := New(maxBytes)
	limiter.whenCollected = func(free func()) {
		limiter.mutex.Unlock()
		free()
		limiter.mutex.Lock()
	}
	return limiter
}

// open admits a connection or fails the test.
func open(t *testing.T, port *Port, clock *testClock) *account {
	t.Helper()
	admitted, victim := port.admit(clock.now, func() {})
	if admitted == nil || victim != nil {
		t.Fatalf("admitted %v, closed %v", admitted, victim)
	}
	return admitted
}

// TestConnectionGivesWay guards against a new caller that finds no place since others hold connections without a use, and
// against calls in progress that are cut off for it.
func TestConnectionGivesWay(t *testing.T) {
	states := []struct {
		name string
		// enter brings a connection into the state.
		enter func(limiter *Limiter, account *account, clock *testClock)
		// never means that the connection is never closed for another.
		never bool
	}{
		{
			name:  "silent",
			enter: func(*Limiter, *account, *testClock) {},
		},
		{
			name: "incomplete body",
			enter: func(limiter *Limiter, account *account, clock *testClock) {
				if _, err := limiter.received(account, 100, 3, clock.read); err != nil {
					t.Error(err)
				}
				if err := limiter.begin(account, true, clock.read); err != nil {
					t.Error(err)
				}
			},
		},
		{
			name: "idle",
			enter: func(limiter *Limiter, account *account, clock *testClock) {
				limiter.end(account, clock.now)
				limiter.idle(account, clock.now)
			},
		},
		{
			name: "answer not read",
			enter: func(limiter *Limiter, account *account, clock *testClock) {
				if err := limiter.begin(account, false, clock.read); err != nil {
					t.Error(err)
				}
				limiter.blocked(account, clock.now)
			},
		},
		{
			name: "in progress",
			enter: func(limiter *Limiter, account *account, clock *testClock) {
				if err := limiter.begin(account, false, clock.read); err != nil {
					t.Error(err)
				}
			},
			never: true,
		},
		{
			name: "in progress after a body",
			enter: func(limiter *Limiter, account *account, clock *testClock) {
				if err := limiter.begin(account, true, clock.read); err != nil {
					t.Error(err)
				}
				if err := limiter.complete(account); err != nil {
					t.Error(err)
				}
			},
			never: true,
		},
	}
	for _, state := range states {
		t.Run(state.name, func(t *testing.T) {
			clock := newTestClock()
			limiter := newLimiter(1 << 20)
			port := limiter.NewPort("Front", 2)
			holder, busy := open(t, port, clock), open(t, port, clock)
			if err := limiter.begin(busy, false, clock.read); err != nil {
				t.Fatal(err)
			}
			state.enter(limiter, holder, clock)
			clock.advance(2 * minStall)
			admitted, victim := port.admit(clock.now, func() {})
			if state.never {
				if admitted != nil || victim != nil {
					t.Error("a call in progress gave way")
				}
				return
			}
			if admitted == nil || victim != holder {
				t.Error("the connection did not give way")
			}
			if limiter.complete(holder) == nil {
				t.Error("a call ran on a connection that gave way")
			}
			limiter.leave(holder)
			if usage := limiter.Usage(); usage.Ports[0].Connections != 2 {
				t.Errorf("%d connections", usage.Ports[0].Connections)
			}
		})
	}
}

// TestOrderOfGivingWay guards against a caller whose connection is closed although another holds one without progress.
func TestOrderOfGivingWay(t *testing.T) {
	clock := newTestClock()
	limiter := newLimiter(1 << 20)
	port := limiter.NewPort("Front", 4)
	used := open(t, port, clock)
	idle := open(t, port, clock)
	limiter.idle(idle, clock.now)
	stalled := open(t, port, clock)
	clock.advance(2 * minStall)
	limiter.idle(used, clock.now)
	fresh := open(t, port, clock)
	if fresh.rank(clock.now) != 0 || used.rank(clock.now) != 0 {
		t.Error("a connection that was used just now may be closed")
	}
	clock.advance(2 * minKept)
	for index, want := range []*account{stalled, idle, fresh, used} {
		if victim := port.victim(clock.now); victim != want {
			t.Fatalf("victim %d is not the expected one", index)
		}
		want.evicted = true
	}
	if victim := port.victim(clock.now); victim != nil {
		t.Error("a connection gave way twice")
	}
}

// TestBusyConnectionsEnd guards against a new caller that finds no place since others make call after call on their
// connections.
func TestBusyConnectionsEnd(t *testing.T) {
	clock := newTestClock()
	limiter := newLimiter(1 << 20)
	port := limiter.NewPort("Front", 1)
	busy := open(t, port, clock)
	clock.advance(2 * minIdle)
	if err := limiter.begin(busy, false, clock.read); err != nil {
		t.Fatal(err)
	}
	if limiter.isLast(busy, clock.read) {
		t.Error("a connection ends although nobody waits")
	}
	if admitted, _ := port.admit(clock.now, func() {}); admitted != nil {
		t.Error("a call in progress gave way")
	}
	if !limiter.isLast(busy, clock.read) {
		t.Error("a busy connection goes on although another waits")
	}
	port.giveUp()
	if limiter.isLast(busy, clock.read) {
		t.Error("a connection ends although nobody waits any more")
	}
	limiter.leave(busy)
	if next := open(t, port, clock); limiter.isLast(next, clock.read) {
		t.Error("a new connection ends with its first call")
	}
}

// TestLargeBuffers guards against unread bytes in the receive buffers that connections keep after a large body.
func TestLargeBuffers(t *testing.T) {
	clock := newTestClock()
	limiter := newLimiter(2 * grownBytes)
	port := limiter.NewPort("Front", 4)
	first, second, third := open(t, port, clock), open(t, port, clock), open(t, port, clock)
	if !limiter.grow(first) || !limiter.grow(second) || !limiter.grow(second) {
		t.Error("no large buffer although there is room")
	}
	if limiter.grow(third) {
		t.Error("a large buffer beyond the limit")
	}
	limiter.leave(first)
	limiter.leave(first)
	if !limiter.grow(third) || limiter.grow(open(t, port, clock)) {
		t.Error("want one more large buffer after a connection was closed")
	}
}

// TestBudget guards against bodies whose sum exceeds the budget, and against a call that gets no room although stalled
// bodies hold it.
func TestBudget(t *testing.T) {
	clock := newTestClock()
	limiter := newLimiter(1000)
	port := limiter.NewPort("Front", 10)
	first, second := open(t, port, clock), open(t, port, clock)
	if granted, _ := limiter.reserve(first, 600, clock.now); !granted {
		t.Fatal("an empty budget had no room")
	}
	if granted, victims := limiter.reserve(second, 600, clock.now); granted || victims != nil {
		t.Errorf("granted %v, closed %d while all make progress", granted, len(victims))
	}
	clock.advance(2 * minStall)
	granted, victims := limiter.reserve(second, 600, clock.now)
	if granted || len(victims) != 1 || victims[0] != first {
		t.Fatalf("granted %v, closed %v, want the stalled one", granted, victims)
	}
	if granted, victims = limiter.reserve(second, 600, clock.now); granted || victims != nil {
		t.Error("room was granted before it was free")
	}
	limiter.leave(first)
	limiter.leave(first)
	if granted, _ = limiter.reserve(second, 600, clock.now); !granted {
		t.Error("the room of a closed connection was not free")
	}
	limiter.end(second, clock.now)
	if usage := limiter.Usage(); usage.Bytes != 0 {
		t.Errorf("%d bytes in use after all calls", usage.Bytes)
	}
}

// TestHandlerKeepsRoom guards against room that is granted twice: the connection of a call is closed while its handler
// still uses the body.
func TestHandlerKeepsRoom(t *testing.T) {
	clock := newTestClock()
	limiter := newLimiter(1000)
	account := open(t, limiter.NewPort("Front", 10), clock)
	if err := limiter.begin(account, true, clock.read); err != nil {
		t.Fatal(err)
	}
	limiter.reserve(account, 600, clock.now)
	limiter.leave(account)
	if usage := limiter.Usage(); usage.Bytes != 600 {
		t.Errorf("%d bytes in use, want 600", usage.Bytes)
	}
	limiter.end(account, clock.now)
	if usage := limiter.Usage(); usage.Bytes != 0 {
		t.Errorf("%d bytes in use, want 0", usage.Bytes)
	}
}

// TestClosedCallKeepsNoRoom guards against room that is never free again: a connection gives way between the end of its
// header and the beginning of its call.
func TestClosedCallKeepsNoRoom(t *testing.T) {
	for _, hasBody := range []bool{false, true} {
		t.Run(fmt.Sprintf("body=%v", hasBody), func(t *testing.T) {
			clock := newTestClock()
			limiter := newLimiter(1000)
			port := limiter.NewPort("Front", 10)
			holder, other := open(t, port, clock), open(t, port, clock)
			limiter.reserve(holder, 600, clock.now)
			clock.advance(2 * minStall)
			if _, victims := limiter.reserve(other, 600, clock.now); len(victims) != 1 {
				t.Fatalf("%d connections gave way", len(victims))
			}
			if err := limiter.begin(holder, hasBody, clock.read); err == nil {
				t.Error("a call began on a connection that gave way")
			}
			limiter.leave(holder)
			if usage := limiter.Usage(); usage.Bytes != 0 {
				t.Errorf("%d bytes in use, want 0", usage.Bytes)
			}
		})
	}
}

// TestRate guards against a caller on a slow link whose body counts as stalled, and against one that sends too slowly to
// come to an end and does not.
func TestRate(t *testing.T) {
	rates := []struct {
		bytesPerSecond int64
		stalled        bool
	}{
		{
			bytesPerSecond: 1,
			stalled:        true,
		},
		{
			bytesPerSecond: 10_000_000 / 8 / 10,
			stalled:        false,
		},
	}
	for _, rate := range rates {
		t.Run(fmt.Sprint(rate.bytesPerSecond), func(t *testing.T) {
			clock := newTestClock()
			limiter := newLimiter(1 << 20)
			account := open(t, limiter.NewPort("Front", 1), clock)
			if err := limiter.begin(account, true, clock.read); err != nil {
				t.Fatal(err)
			}
			for range 5 {
				clock.advance(time.Second)
				if _, err := limiter.received(account, rate.bytesPerSecond, 0, clock.read); err != nil {
					t.Fatal(err)
				}
			}
			if stalled := account.isStalled(clock.now); stalled != rate.stalled {
				t.Errorf("stalled is %v", stalled)
			}
		})
	}
}

// TestHeaders guards against many short header lines, which take far more memory than they have bytes, and against an
// ordinary header that draws on the budget.
func TestHeaders(t *testing.T) {
	clock := newTestClock()
	limiter := newLimiter(1 << 20)
	account := open(t, limiter.NewPort("Front", 1), clock)
	if reserve, err := limiter.received(account, 1000, 20, clock.read); reserve != 0 || err != nil {
		t.Errorf("an ordinary header reserves %d bytes: %v", reserve, err)
	}
	reserve, err := limiter.received(account, 15000, 3000, clock.read)
	if reserve < 3000*headerLineBytes || err != nil {
		t.Errorf("a header of 3,000 lines reserves %d bytes: %v", reserve, err)
	}
}
