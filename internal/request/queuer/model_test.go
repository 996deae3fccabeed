package queuer_test

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"testing"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/request/queuer"
	"pomelomoor/internal/request/router"
)

// The benchmarks run a discrete-event model of requests with exponential service times drawn from
// a fixed seed. System and baselines see the same requests.
const (
	modelSeed   = 7
	meanService = 20 * time.Millisecond
	// memberRunners have about as many slots as one entry instance owns, regionRunners those of a
	// region.
	memberRunners = 6
	regionRunners = 17
	memberSlots   = memberRunners * router.SlotsPerRunner
)

var epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

type request struct {
	at      time.Time
	service time.Duration
	item    queuer.Item
	// started is zero if the request was not served.
	started time.Time
}

func (request *request) ended() time.Time {
	return request.started.Add(request.service)
}

func (request *request) inTime() bool {
	return !request.started.IsZero() && !request.ended().After(request.item.Deadline)
}

// requests draws arrivals. Demand is relative to what the slots can do. Shape may change the
// request.
func requests(runners int, length time.Duration, demand func(time.Duration) float64, shape func(*rand.Rand, *request)) []*request {
	random := rand.New(rand.NewPCG(modelSeed, modelSeed))
	var all []*request
	for at := time.Duration(0); ; {
		rate := demand(at) * float64(runners*router.SlotsPerRunner) / float64(meanService)
		at += time.Duration(random.ExpFloat64() / rate)
		if at > length {
			return all
		}
		added := &request{
			at:      epoch.Add(at),
			service: time.Duration(random.ExpFloat64() * float64(meanService)),
			item: queuer.Item{
				ID:       strconv.Itoa(len(all)),
				Caller:   fmt.Sprint("caller-", random.IntN(20)),
				Lane:     parser.LaneShort,
				Deadline: epoch.Add(at + 10*meanService),
			},
		}
		shape(random, added)
		all = append(all, added)
	}
}

type model interface {
	offer(now time.Time, id int, request *request)
	// next returns a request to start now.
	next(now time.Time) (id int, ok bool)
	done(now time.Time, id int, request *request)
}

// system is Queuer and Router as the forwarder uses them.
type system struct {
	queuer queuer.Queuer
	router router.Router
	slots  map[int]router.Slot
}

func newSystem(count int) *system {
	system := &system{
		slots: map[int]router.Slot{},
	}
	var runners []router.Runner
	for i := range count {
		runners = append(runners, router.Runner{
			ID:      fmt.Sprint("runner-", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1)),
		})
	}
	system.router.SetRunners(epoch, runners)
	return system
}

func (system *system) offer(now time.Time, _ int, request *request) {
	var slots queuer.Slots
	slots.Usable, slots.Free = system.router.Slots(now, request.item.Lane)
	system.queuer.Offer(now, request.item, slots)
}

func (system *system) next(now time.Time) (int, bool) {
	_, short := system.router.Slots(now, parser.LaneShort)
	_, long := system.router.Slots(now, parser.LaneLong)
	item, _, ok := system.queuer.Take(now, short > 0, long > 0)
	if !ok {
		return 0, false
	}
	id, _ := strconv.Atoi(item.ID)
	system.slots[id], _ = system.router.Choose(now, item.Lane, "")
	return id, true
}

func (system *system) done(now time.Time, id int, request *request) {
	system.router.Release(now, system.slots[id], router.OutcomeSuccess, request.service)
	system.queuer.Learn(now, request.item.Lane, request.service)
	delete(system.slots, id)
}

// fifo is one shared lane that refuses nothing.
type fifo struct {
	queue []int
	free  int
}

func (fifo *fifo) offer(_ time.Time, id int, _ *request) {
	fifo.queue = append(fifo.queue, id)
}

func (fifo *fifo) next(time.Time) (int, bool) {
	if len(fifo.queue) == 0 || fifo.free == 0 {
		return 0, false
	}
	id := fifo.queue[0]
	fifo.queue = fifo.queue[1:]
	fifo.free--
	return id, true
}

func (fifo *fifo) done(time.Time, int, *request) {
	fifo.free++
}

type ending struct {
	at time.Time
	id int
}

func simulate(all []*request, model model) {
	// Running is sorted by the time of the end.
	var running []ending
	for at := 0; at < len(all) || len(running) > 0; {
		var now time.Time
		if at < len(all) && (len(running) == 0 || all[at].at.Before(running[0].at)) {
			now = all[at].at
			model.offer(now, at, all[at])
			at++
		} else {
			now = running[0].at
			model.done(now, running[0].id, all[running[0].id])
			running = running[1:]
		}
		for {
			id, ok := model.next(now)
			if !ok {
				break
			}
			all[id].started = now
			started := ending{
				at: all[id].ended(),
				id: id,
			}
			place, _ := slices.BinarySearchFunc(running, started, func(a, b ending) int {
				return a.at.Compare(b.at)
			})
			running = slices.Insert(running, place, started)
		}
	}
}

// each runs the system and the baseline on fresh copies of the same requests.
func each(b *testing.B, runners int, draw func() []*request, report func(*testing.B, []*request)) {
	models := map[string]func() model{
		"system": func() model { return newSystem(runners) },
		"fifo":   func() model { return &fifo{free: runners * router.SlotsPerRunner} },
	}
	for _, name := range []string{"system", "fifo"} {
		b.Run(name, func(b *testing.B) {
			for b.Loop() {
				all := draw()
				simulate(all, models[name]())
				report(b, all)
			}
		})
	}
}

func percentile(values []time.Duration, share float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return float64(values[int(share*float64(len(values)-1))]) / float64(time.Millisecond)
}

// BenchmarkBurst raises demand from 0.6 to 3 times what the slots can do within one second.
// From the moment when demand exceeds the slots, goodput is the share of served requests that end
// inside their deadline, times the share of slot time in use. Slot time is the stricter share of
// slot time that such requests take; it weighs the longest requests most.
func BenchmarkBurst(b *testing.B) {
	const rise, length = 3 * time.Second, 12 * time.Second
	from, to := epoch.Add(rise+time.Second/6), epoch.Add(length)
	for _, deadline := range []time.Duration{5 * meanService, 10 * meanService, 50 * meanService} {
		b.Run(fmt.Sprint("deadline=", deadline), func(b *testing.B) {
			each(b, memberRunners, func() []*request {
				return requests(memberRunners, length, func(at time.Duration) float64 {
					return 0.6 + 2.4*min(max((at-rise).Seconds(), 0), 1)
				}, func(_ *rand.Rand, request *request) {
					request.item.Deadline = request.at.Add(deadline)
				})
			}, func(b *testing.B, all []*request) {
				var good, used time.Duration
				served, inTime := 0, 0
				for _, request := range all {
					if request.started.Before(from) || request.started.After(to) {
						continue
					}
					served++
					start, end := request.started, request.ended()
					if end.After(to) {
						end = to
					}
					used += end.Sub(start)
					if request.inTime() {
						inTime++
						good += end.Sub(start)
					}
				}
				slotTime := float64(memberSlots * to.Sub(from))
				b.ReportMetric(100*float64(inTime)/float64(served)*float64(used)/slotTime, "goodput-%")
				b.ReportMetric(100*float64(good)/slotTime, "slot-time-%")
			})
		})
	}
}

// BenchmarkStragglers loads the slots to 85 % with 5 % of the requests 20 times as long.
func BenchmarkStragglers(b *testing.B) {
	for _, runners := range []int{memberRunners, regionRunners} {
		for _, lengths := range []string{"exponential", "constant"} {
			b.Run(fmt.Sprintf("runners=%d/lengths=%s", runners, lengths), func(b *testing.B) {
				each(b, runners, func() []*request {
					return stragglers(runners, lengths == "constant")
				}, reportWaits)
			})
		}
	}
}

func stragglers(runners int, constant bool) []*request {
	return requests(runners, 60*time.Second, func(time.Duration) float64 {
		return 0.85 / (0.95 + 0.05*20)
	}, func(random *rand.Rand, request *request) {
		if constant {
			request.service = meanService
		}
		if random.IntN(20) == 0 {
			request.item.Lane = parser.LaneLong
			request.service *= 20
		}
		request.item.Deadline = request.at.Add(time.Hour)
	})
}

func reportWaits(b *testing.B, all []*request) {
	waits := map[parser.Lane][]time.Duration{}
	for _, request := range all {
		if !request.started.IsZero() {
			waits[request.item.Lane] = append(waits[request.item.Lane], request.started.Sub(request.at))
		}
	}
	b.ReportMetric(percentile(waits[parser.LaneShort], 0.99), "short-p99-ms")
	b.ReportMetric(percentile(waits[parser.LaneLong], 0.99), "long-p99-ms")
	served := len(waits[parser.LaneShort]) + len(waits[parser.LaneLong])
	b.ReportMetric(100*float64(served)/float64(len(all)), "served-%")
}

// BenchmarkFairness has a normal caller that asks for a fifth of the slots and a greedy one that
// asks for three times all of them.
func BenchmarkFairness(b *testing.B) {
	each(b, memberRunners, func() []*request {
		return requests(memberRunners, 10*time.Second, func(time.Duration) float64 {
			return 3.2
		}, func(random *rand.Rand, request *request) {
			request.item.Caller = "greedy"
			if random.IntN(16) == 0 {
				request.item.Caller = "normal"
			}
		})
	}, func(b *testing.B, all []*request) {
		count, good := map[string]int{}, map[string]int{}
		for _, request := range all {
			count[request.item.Caller]++
			if request.inTime() {
				good[request.item.Caller]++
			}
		}
		for _, caller := range []string{"normal", "greedy"} {
			b.ReportMetric(100*float64(good[caller])/float64(count[caller]), caller+"-in-time-%")
		}
	})
}

// BenchmarkDecision takes one request through admission, queue, choice of runner and release with
// 50 runners and 1,000 requests of 100 callers waiting.
func BenchmarkDecision(b *testing.B) {
	system := newSystem(50)
	system.router.SetMembers([]string{"a", "b", "c"})
	ids := make([]string, 4096)
	for i := range ids {
		ids[i] = strconv.Itoa(i)
	}
	now, at := epoch, 0
	offer := func() {
		now = now.Add(time.Microsecond)
		system.offer(now, at, &request{
			item: queuer.Item{
				ID:       ids[at%len(ids)],
				Caller:   ids[at%100],
				Deadline: now.Add(time.Hour),
			},
		})
		at++
	}
	for range 1000 {
		offer()
	}
	b.ReportAllocs()
	for b.Loop() {
		offer()
		id, ok := system.next(now)
		if !ok {
			b.Fatal("no slot is free")
		}
		system.done(now, id, &request{
			service: meanService,
		})
	}
}
