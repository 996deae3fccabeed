package courier

import (
	"hash/crc32"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/cell/describer"
)

// directWay is the number of the direct way if there are that many couriers: two couriers are tried before.
const directWay = 2

// detour is the way to a worker that could not be reached on the usual one. The ways are taken in turn: by two of the open
// couriers, directly, and by the other couriers. A leader that called all workers directly whose answers are late would have still less
// processor time for the answers.
type detour struct {
	// way is the number of the way, 0 for the usual one.
	way int
	// known is a way on which the worker was reached lately, which is tried first when the usual one fails again; 0 if
	// there is none.
	known int
	// until is when the usual way is tried again.
	until time.Time
}

// next returns the detour after a failure on its way.
func (detour detour) next() detour {
	if detour.way == 0 && detour.known > 0 {
		detour.way, detour.known = detour.known, 0
	} else {
		detour.way++
	}
	detour.until = time.Now().Add(detourPeriod)
	return detour
}

// carrierFor returns the carrier for a worker, or nil if the leader is to call it itself, and the number of that way.
// Open carriers in the worker's data centre come first.
func (courier *Courier) carrierFor(worker *describer.Worker) (chosen *carrier, way int) {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	if courier.workers < minWorkers {
		return nil, 0
	}
	var near, far []*carrier
	for _, carrier := range courier.couriers {
		switch {
		case !carrier.isOpen():
		case carrier.instance.DataCentre == worker.DataCentre:
			near = append(near, carrier)
		default:
			far = append(far, carrier)
		}
	}
	detour, taken := courier.detours[worker.ID]
	if taken && detour.way > 0 && time.Now().After(detour.until) {
		detour.way, detour.known = 0, detour.way
		courier.detours[worker.ID] = detour
	}
	way = detour.way
	hash := int(crc32.ChecksumIEEE([]byte(worker.ID)))
	ways := append(rotate(near, hash), rotate(far, hash)...)
	// The direct way comes early, since a worker that no courier reaches must be called before its leases lapse.
	ways = slices.Insert(ways, min(len(ways), directWay), nil)
	return ways[way%len(ways)], way
}

// rotate returns the carriers in an order that starts with another one for each hash.
func rotate(carriers []*carrier, hash int) []*carrier {
	if len(carriers) == 0 {
		return nil
	}
	start := hash % len(carriers)
	return append(slices.Clone(carriers[start:]), carriers[:start]...)
}

// noteUnreached makes the next orders for a worker go another way for a while, unless another order that failed on the
// same way has done so.
func (courier *Courier) noteUnreached(id describer.WorkerID, way int) {
	courier.mutex.Lock()
	defer courier.mutex.Unlock()
	if len(courier.detours) > courier.workers {
		maps.DeleteFunc(courier.detours, func(_ describer.WorkerID, detour detour) bool {
			return time.Now().After(detour.until)
		})
	}
	if detour := courier.detours[id]; detour.way == way {
		courier.detours[id] = detour.next()
	}
}

// noteDirect notes the outcome of a direct call, after which a worker that was not reached is called by couriers again.
func (courier *Courier) noteDirect(id describer.WorkerID, way int, err error) {
	if unreached(err) && courier.wanted() {
		courier.noteUnreached(id, way)
	}
}

// unreached reports whether a call failed on the way to the worker.
func unreached(err error) bool {
	return errors.Is(err, describer.ErrNoEffect) || errors.Is(err, describer.ErrUncertain)
}
