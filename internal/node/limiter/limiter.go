// Package limiter bounds the memory and the connections that the clients of one process can use. Connections that hold
// room without progress give way to those that make progress.
package limiter

import (
	"runtime"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

const (
	// ConnectionBytes is the memory of a connection with an ordinary call: the buffers and stacks of the server, 4 KB of
	// header and a body of 16 KB. What a call needs beyond that is taken from the shared budget.
	ConnectionBytes = 64 << 10
	// freeHeaderBytes is the part of a header that ConnectionBytes covers.
	freeHeaderBytes = 4 << 10
	// freeHeaderLines is the number of header lines that ConnectionBytes covers.
	freeHeaderLines = 64
	// headerLineBytes is the memory of one decoded header line beside its text.
	headerLineBytes = 128
	// minStall is how long a call may be incomplete, or an answer blocked, before its connection can be closed for others.
	minStall = time.Second
	// minBytesPerSecond extends minStall for what has arrived. A link of 10 Mbit/s carries twenty times as much.
	minBytesPerSecond = 64 << 10
	// minKept is how long a connection keeps its place in any case: an ordinary call arrives in less time, and an answer that
	// is not blocked is sent.
	minKept = 100 * time.Millisecond
	// maxAdmission is how long a new connection waits for a place, and admissionInterval the time between its attempts.
	maxAdmission      = time.Second
	admissionInterval = time.Millisecond
	// minIdle is how long a connection has to be idle before it gives way ahead of fresh ones. A caller that has used it
	// later is likely to use it again just then.
	minIdle = time.Second
	// maxWait is how long a call waits for room in the budget, and waitInterval the time between its attempts.
	maxWait      = time.Second
	waitInterval = 20 * time.Millisecond
	// maxWaiting is the number of calls that can wait for room at once.
	maxWaiting = 16
)

// ErrNoRoom means that a call was refused because the clients of the process use all of the memory that they may.
// Nothing of the call has run.
var ErrNoRoom = errors.New("calls in progress use all memory that is granted to them")

// errEvicted means that a connection was closed for the sake of others. Nothing of its call has run.
var errEvicted = errors.New("connection gave way to others")

// Reason is why a client was refused.
type Reason string

// The reasons for refusals.
const (
	// ReasonConnections means that a new connection was closed, since all others were in use.
	ReasonConnections Reason = "Connections"
	// ReasonStalled and ReasonIdle mean that a connection was closed for others.
	ReasonStalled Reason = "Stalled"
	ReasonIdle    Reason = "Idle"
	// ReasonHeader and ReasonBody mean that the budget had no room for a header or a body.
	ReasonHeader Reason = "Header"
	ReasonBody   Reason = "Body"
)

// phase is what a connection does.
type phase int

const (
	// phaseReceiving means that the call on the connection is not complete, so nothing has run.
	phaseReceiving phase = iota
	// phaseServing means that the call is carried out.
	phaseServing
	// phaseAnswering means that the call has ended and its answer may not be sent completely.
	phaseAnswering
	// phaseIdle means that there is no call on the connection.
	phaseIdle
)

// Limiter is the budget of bytes that the ports of a process share. It is safe for concurrent use.
type Limiter struct {
	maxBytes int64

	// whenCollected calls free once the garbage collector has run. Tests replace it.
	whenCollected func(free func())

	mutex     sync.Mutex
	usedBytes int64
	// uncollectedBytes is the part of usedBytes that calls have given back and that was not collected yet. collecting means
	// that a collection was started for them.
	uncollectedBytes int64
	collecting       bool
	waiting          int
	// grown counts the connections with a large receive buffer.
	grown int
	ports []*Port
}

// New returns a limiter whose clients use at most maxBytes beside ConnectionBytes for each connection.
func New(maxBytes int64) *Limiter {
	return &Limiter{
		maxBytes:      maxBytes,
		whenCollected: whenCollected,
	}
}

// collection becomes garbage at once, so that its clean-up runs after the next collection. The pointer keeps it from being
// allocated together with other small objects, which delay that.
type collection struct {
	_ *byte
}

func whenCollected(free func()) {
	runtime.AddCleanup(&collection{}, func(free func()) {
		free()
	}, free)
}

// Port bounds the connections to one listening port.
type Port struct {
	limiter        *Limiter
	name           string
	maxConnections int
	accounts       map[*account]struct{}
	refused        map[Reason]int64
	// crowded means that a new connection waits for a place.
	crowded bool
}

// NewPort adds a port with a name for metrics and a limit on its connections.
func (limiter *Limiter) NewPort(name string, maxConnections int) *Port {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	port := &Port{
		limiter:        limiter,
		name:           name,
		maxConnections: max(maxConnections, 1),
		accounts:       make(map[*account]struct{}),
		refused:        make(map[Reason]int64),
	}
	limiter.ports = append(limiter.ports, port)
	return port
}

// account is what the limiter knows of one connection. Its fields are guarded by the mutex of the limiter.
type account struct {
	port *Port
	// close closes the connection. It is called without the mutex.
	close func()
	phase phase
	// admitted is when the connection was admitted, and since when its phase began.
	admitted time.Time
	since    time.Time
	// blockedSince is when a write began that has not ended; zero without one.
	blockedSince time.Time
	// receivedBytes is the size of the incomplete call so far.
	receivedBytes int64
	// headerBytes and headerLines are those of the call so far; they do not grow any more once inBody is set.
	headerBytes int64
	headerLines int64
	inBody      bool
	// isGrown means that the connection has a large receive buffer.
	isGrown bool
	// inHandler means that a handler runs, which may use what the call holds even after its connection is closed.
	inHandler bool
	// heldBytes is the part of the budget that the call holds.
	heldBytes int64
	// evicted means that the connection was closed for others; closed means that it has left its port.
	evicted bool
	closed  bool
}

// isStalled reports whether the connection holds room without progress.
func (account *account) isStalled(now time.Time) bool {
	if !account.blockedSince.IsZero() && now.Sub(account.blockedSince) > minStall {
		return true
	}
	switch account.phase {
	case phaseReceiving:
		allowed := minStall + time.Duration(account.receivedBytes)*time.Second/minBytesPerSecond
		return now.Sub(account.since) > allowed
	case phaseAnswering:
		return now.Sub(account.since) > minStall
	case phaseServing, phaseIdle:
	}
	return false
}

// stalledSince returns the time since which the connection makes no progress.
func (account *account) stalledSince() time.Time {
	if !account.blockedSince.IsZero() {
		return account.blockedSince
	}
	return account.since
}

// rank returns how readily the connection is closed for a new one; 0 means never.
func (account *account) rank(now time.Time) int {
	age := now.Sub(account.since)
	switch {
	case account.evicted:
		return 0
	case account.isStalled(now):
		return 4
	case age <= minKept:
		return 0
	case account.phase == phaseIdle && age > minIdle:
		return 3
	case account.phase == phaseReceiving, account.phase == phaseAnswering && account.blockedSince.IsZero():
		return 2
	case account.phase == phaseIdle:
		return 1
	}
	return 0
}

// admit returns the account of a new connection and the one that has to be closed for it. The account is nil while there
// is no place.
func (port *Port) admit(now time.Time, closeConn func()) (admitted, victim *account) {
	port.limiter.mutex.Lock()
	defer port.limiter.mutex.Unlock()
	if len(port.accounts) >= port.maxConnections {
		if victim = port.victim(now); victim == nil {
			port.crowded = true
			return nil, nil
		}
		port.evict(victim)
		// The place of the victim is free once its connection is closed, which the caller does before it goes on.
		delete(port.accounts, victim)
	}
	port.crowded = false
	admitted = &account{
		port:     port,
		close:    closeConn,
		admitted: now,
		since:    now,
	}
	port.accounts[admitted] = struct{}{}
	return admitted, victim
}

// giveUp notes that a new connection does not wait for a place any more.
func (port *Port) giveUp() {
	port.limiter.mutex.Lock()
	defer port.limiter.mutex.Unlock()
	port.crowded = false
}

// victim returns the connection that gives way to a new one, or nil: the one of the highest rank that has been without
// progress for longest.
func (port *Port) victim(now time.Time) *account {
	var victim *account
	victimRank := 0
	for account := range port.accounts {
		rank := account.rank(now)
		if rank > victimRank || rank > 0 && rank == victimRank && account.stalledSince().Before(victim.stalledSince()) {
			victim, victimRank = account, rank
		}
	}
	return victim
}

func (port *Port) evict(account *account) {
	account.evicted = true
	reason := ReasonStalled
	if account.phase == phaseIdle {
		reason = ReasonIdle
	}
	port.refused[reason]++
}

// reserve takes bytes from the budget for a call. If there is no room, it returns the stalled connections that have to
// be closed so that there will be.
func (limiter *Limiter) reserve(account *account, bytes int64, now time.Time) (granted bool, victims []*account) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return limiter.reserveLocked(account, bytes, now)
}

func (limiter *Limiter) reserveLocked(account *account, bytes int64, now time.Time) (granted bool, victims []*account) {
	if account.evicted {
		return false, nil
	}
	if limiter.usedBytes+bytes <= limiter.maxBytes {
		limiter.usedBytes += bytes
		account.heldBytes += bytes
		return true, nil
	}
	// What the connections that are being closed hold is free as soon as their calls have ended.
	missing := limiter.usedBytes + bytes - limiter.maxBytes
	for _, port := range limiter.ports {
		for other := range port.accounts {
			if missing <= 0 {
				return false, victims
			}
			if other != account && other.heldBytes > 0 && other.isStalled(now) {
				missing -= other.heldBytes
				if !other.evicted {
					port.evict(other)
					victims = append(victims, other)
				}
			}
		}
	}
	return false, victims
}

// release gives back what the call of the connection holds. It can be used again once it was collected: many large
// documents in a row would otherwise fill the memory while the collector is behind.
func (limiter *Limiter) release(account *account) {
	bytes := account.heldBytes
	if bytes == 0 {
		return
	}
	account.heldBytes = 0
	limiter.uncollectedBytes += bytes
	limiter.whenCollected(func() {
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		limiter.usedBytes -= bytes
		limiter.uncollectedBytes -= bytes
	})
}

// collect starts a collection if calls wait for what others have given back.
func (limiter *Limiter) collect() {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.uncollectedBytes == 0 || limiter.collecting {
		return
	}
	limiter.collecting = true
	go func() {
		runtime.GC()
		limiter.mutex.Lock()
		defer limiter.mutex.Unlock()
		limiter.collecting = false
	}()
}

// received notes bytes that have arrived on a connection. It returns the memory that has to be reserved for them before
// they are decoded; the body is reserved by its reader.
func (limiter *Limiter) received(account *account, bytes, lines int64, now func() time.Time) (reserve int64, err error) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if account.evicted {
		return 0, errEvicted
	}
	if account.phase == phaseIdle {
		account.phase = phaseReceiving
		account.since = now()
		account.receivedBytes = 0
		account.headerBytes, account.headerLines = 0, 0
		account.inBody = false
	}
	account.receivedBytes += bytes
	if account.inBody || account.phase != phaseReceiving {
		return 0, nil
	}
	account.headerBytes += bytes
	account.headerLines += lines
	if account.headerBytes <= freeHeaderBytes {
		return 0, nil
	}
	return max(2*account.headerBytes+headerLineBytes*account.headerLines-account.heldBytes, 0), nil
}

// isLast reports whether the connection has to be closed with the answer to its call, since others wait for its place.
func (limiter *Limiter) isLast(account *account, now func() time.Time) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return account.port.crowded && now().Sub(account.admitted) > minIdle
}

// active notes that bytes have arrived on a connection whose calls the limiter does not know.
func (limiter *Limiter) active(account *account, now time.Time) error {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if account.evicted {
		return errEvicted
	}
	account.phase = phaseIdle
	account.since = now
	return nil
}

// begin notes that the header of a call is complete. Without a body, so is the call. After an error, end is not called.
func (limiter *Limiter) begin(account *account, hasBody bool, now func() time.Time) error {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if account.evicted {
		return errEvicted
	}
	account.inBody = true
	account.inHandler = true
	if account.phase == phaseIdle {
		// The call had been read together with the one before.
		account.phase = phaseReceiving
		account.since = now()
		account.receivedBytes = 0
	}
	if hasBody {
		return nil
	}
	return account.serve()
}

// grow reports whether the connection may have a large receive buffer, which it keeps until it is closed.
func (limiter *Limiter) grow(account *account) bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if account.isGrown || account.closed || int64(limiter.grown) >= limiter.maxBytes/grownBytes {
		return account.isGrown
	}
	account.isGrown = true
	limiter.grown++
	return true
}

// decoded notes the size of a decoded header. It returns the memory that has to be reserved for it beside what its call
// holds already.
func (limiter *Limiter) decoded(account *account, bytes, lines int64) (reserve int64) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	cost := 2*bytes + headerLineBytes*lines
	if cost <= 2*freeHeaderBytes+headerLineBytes*freeHeaderLines {
		return 0
	}
	return max(cost-account.heldBytes, 0)
}

// complete notes that the body of a call is complete.
func (limiter *Limiter) complete(account *account) error {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	return account.serve()
}

func (account *account) serve() error {
	if account.evicted {
		return errEvicted
	}
	account.phase = phaseServing
	return nil
}

// end notes that the handler of a call has returned.
func (limiter *Limiter) end(account *account, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.release(account)
	account.inHandler = false
	account.phase = phaseAnswering
	account.since = now
}

// idle notes that the connection waits for its next call.
func (limiter *Limiter) idle(account *account, now time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account.phase = phaseIdle
	account.since = now
}

// blocked notes the beginning of a write, or its end if since is zero.
func (limiter *Limiter) blocked(account *account, since time.Time) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	account.blockedSince = since
}

// leave notes that the connection is closed.
func (limiter *Limiter) leave(account *account) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if account.closed {
		return
	}
	account.closed = true
	delete(account.port.accounts, account)
	if account.isGrown {
		limiter.grown--
	}
	if !account.inHandler {
		limiter.release(account)
	}
}

func (limiter *Limiter) refuse(port *Port, reason Reason) {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	port.refused[reason]++
}

// startWaiting reports whether one more call may wait for room.
func (limiter *Limiter) startWaiting() bool {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	if limiter.waiting >= maxWaiting {
		return false
	}
	limiter.waiting++
	return true
}

func (limiter *Limiter) stopWaiting() {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	limiter.waiting--
}

// Usage is what the clients of a process use.
type Usage struct {
	Bytes    int64
	MaxBytes int64
	Ports    []PortUsage
}

// PortUsage is what the clients of a port use.
type PortUsage struct {
	Name           string
	Connections    int
	MaxConnections int
	// Refused counts the refused clients since the start.
	Refused map[Reason]int64
}

// Usage returns what is in use now.
func (limiter *Limiter) Usage() Usage {
	limiter.mutex.Lock()
	defer limiter.mutex.Unlock()
	usage := Usage{
		Bytes:    limiter.usedBytes,
		MaxBytes: limiter.maxBytes,
	}
	for _, port := range limiter.ports {
		refused := make(map[Reason]int64, len(port.refused))
		for reason, count := range port.refused {
			refused[reason] = count
		}
		usage.Ports = append(usage.Ports, PortUsage{
			Name:           port.name,
			Connections:    len(port.accounts),
			MaxConnections: port.maxConnections,
			Refused:        refused,
		})
	}
	return usage
}
