// Package streamer simulates streams of interactive requests through the entry instances of a region, and
// through one shared lane that refuses nothing.
package streamer

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"strconv"
	"time"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/request/queuer"
	"pomelomoor/internal/request/router"
)

// The discrete-event model has requests with exponential service times drawn from a seed. System and
// baselines see the same requests.
const (
	// MeanService is the mean time that a request takes on a runner.
	MeanService = 20 * time.Millisecond
	// MemberRunners have about as many slots as one entry instance owns, and RegionMembers are the
	// entry instances of a region.
	MemberRunners = 6
	RegionMembers = 3
	MemberSlots   = MemberRunners * router.SlotsPerRunner
)

// Epoch is when streams begin.
var Epoch = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Request is one request of a stream.
type Request struct {
	At      time.Time
	Service time.Duration
	Item    queuer.Item
	// Started is zero if the request was not served.
	Started time.Time
}

// Ended returns when a served request ended.
func (request *Request) Ended() time.Time {
	return request.Started.Add(request.Service)
}

// InTime reports whether the request ended inside its deadline.
func (request *Request) InTime() bool {
	return !request.Started.IsZero() && !request.Ended().After(request.Item.Deadline)
}

// Draw draws arrivals. Demand is relative to what the slots can do. Shape may change the
// request.
func Draw(seed uint64, members int, length time.Duration, demand func(time.Duration) float64, shape func(*rand.Rand, *Request)) []*Request {
	random := rand.New(rand.NewPCG(seed, seed))
	var all []*Request
	for at := time.Duration(0); ; {
		rate := demand(at) * float64(members*MemberSlots) / float64(MeanService)
		at += time.Duration(random.ExpFloat64() / rate)
		if at > length {
			return all
		}
		added := &Request{
			At:      Epoch.Add(at),
			Service: time.Duration(random.ExpFloat64() * float64(MeanService)),
			Item: queuer.Item{
				ID:       strconv.Itoa(len(all)),
				Caller:   fmt.Sprint("caller-", random.IntN(20)),
				Lane:     parser.LaneShort,
				Deadline: Epoch.Add(at + 10*MeanService),
			},
		}
		shape(random, added)
		all = append(all, added)
	}
}

// Model is a way to serve requests.
type Model interface {
	Offer(now time.Time, id int, request *Request)
	// Next returns a request to start now.
	Next(now time.Time) (id int, ok bool)
	Done(now time.Time, id int, request *Request)
}

// System is Queuer and Router as the forwarder uses them.
type System struct {
	queuer queuer.Queuer
	// Router chooses runners.
	Router router.Router
	slots  map[int]router.Slot
}

// NewSystem returns the system with a number of runners.
func NewSystem(count int) *System {
	system := &System{
		slots: map[int]router.Slot{},
	}
	var runners []router.Runner
	for i := range count {
		runners = append(runners, router.Runner{
			ID:      fmt.Sprint("runner-", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1)),
		})
	}
	system.Router.SetRunners(Epoch, runners)
	return system
}

// Offer implements Model.
func (system *System) Offer(now time.Time, _ int, request *Request) {
	var slots queuer.Slots
	slots.Usable, slots.Free = system.Router.Slots(now, request.Item.Lane)
	system.queuer.Offer(now, request.Item, slots)
}

// Next implements Model.
func (system *System) Next(now time.Time) (int, bool) {
	_, short := system.Router.Slots(now, parser.LaneShort)
	_, long := system.Router.Slots(now, parser.LaneLong)
	item, _, ok := system.queuer.Take(now, short > 0, long > 0)
	if !ok {
		return 0, false
	}
	id, _ := strconv.Atoi(item.ID)
	system.slots[id], _ = system.Router.Choose(now, item.Lane, "")
	return id, true
}

// Done implements Model.
func (system *System) Done(now time.Time, id int, request *Request) {
	system.Router.Release(now, system.slots[id], router.OutcomeSuccess, request.Service)
	system.queuer.ObserveServiceTime(now, request.Item.Lane, request.Service)
	delete(system.slots, id)
}

// fifo is one shared lane that refuses nothing.
type fifo struct {
	queue []int
	free  int
}

func (fifo *fifo) Offer(_ time.Time, id int, _ *Request) {
	fifo.queue = append(fifo.queue, id)
}

func (fifo *fifo) Next(time.Time) (int, bool) {
	if len(fifo.queue) == 0 || fifo.free == 0 {
		return 0, false
	}
	id := fifo.queue[0]
	fifo.queue = fifo.queue[1:]
	fifo.free--
	return id, true
}

func (fifo *fifo) Done(time.Time, int, *Request) {
	fifo.free++
}

// region is the entry instances of one region. The balancer deals requests out in turn.
type region struct {
	members []Model
	// place is the member that has a request.
	place map[int]int
	// peers of each system, with reports of each second, or none.
	peers    []router.Peers
	reported time.Time
}

// newRegion returns a region, whose members forward to each other or not.
func newRegion(forward bool, member func() Model) *region {
	region := &region{
		place: map[int]int{},
	}
	for range RegionMembers {
		region.members = append(region.members, member())
	}
	if forward {
		region.peers = make([]router.Peers, RegionMembers)
	}
	return region
}

func (region *region) report(now time.Time) {
	region.reported = now
	for i := range region.peers {
		var reports []router.Peer
		for j, member := range region.members {
			system := member.(*System)
			if _, free := system.Router.Slots(now, parser.LaneShort); i != j && system.queuer.Len(parser.LaneShort) == 0 {
				reports = append(reports, router.Peer{
					ID:   strconv.Itoa(j),
					Free: free,
				})
			}
		}
		region.peers[i].Set(reports)
	}
}

func (region *region) Offer(now time.Time, id int, request *Request) {
	if now.Sub(region.reported) >= time.Second {
		region.report(now)
	}
	home := id % RegionMembers
	region.place[id] = home
	if region.peers != nil {
		region.forward(now, id, home, request)
	}
	region.members[region.place[id]].Offer(now, id, request)
}

// forward moves a request to a peer if it has a free slot; the round trip counts as a wait.
func (region *region) forward(now time.Time, id, home int, request *Request) {
	own, slots := region.members[home].(*System), queuer.Slots{}
	slots.Usable, slots.Free = own.Router.Slots(now, request.Item.Lane)
	demand := router.Demand{
		ID:       request.Item.ID,
		Deadline: request.Item.Deadline,
	}
	demand.Wait, demand.Service = own.queuer.PredictTimes(now, request.Item, slots)
	chosen, ok := region.peers[home].Choose(now, demand)
	if !ok {
		return
	}
	request.At = request.At.Add(-router.IntraRegionRoundTrip)
	peer, _ := strconv.Atoi(chosen)
	if _, free := region.members[peer].(*System).Router.Slots(now, request.Item.Lane); free > 0 {
		region.place[id] = peer
		return
	}
	region.peers[home].Release(chosen, true)
}

func (region *region) Next(now time.Time) (int, bool) {
	for _, member := range region.members {
		if id, ok := member.Next(now); ok {
			return id, true
		}
	}
	return 0, false
}

func (region *region) Done(now time.Time, id int, request *Request) {
	home, place := id%RegionMembers, region.place[id]
	if home != place {
		region.peers[home].Release(strconv.Itoa(place), false)
	}
	region.members[place].Done(now, id, request)
}

type ending struct {
	at time.Time
	id int
}

// Simulate serves a stream.
func Simulate(all []*Request, model Model) {
	// Running is sorted by the time of the end.
	var running []ending
	for at := 0; at < len(all) || len(running) > 0; {
		var now time.Time
		if at < len(all) && (len(running) == 0 || all[at].At.Before(running[0].at)) {
			now = all[at].At
			model.Offer(now, at, all[at])
			at++
		} else {
			now = running[0].at
			model.Done(now, running[0].id, all[running[0].id])
			running = running[1:]
		}
		for {
			id, ok := model.Next(now)
			if !ok {
				break
			}
			all[id].Started = now
			started := ending{
				at: all[id].Ended(),
				id: id,
			}
			place, _ := slices.BinarySearchFunc(running, started, func(a, b ending) int {
				return a.at.Compare(b.at)
			})
			running = slices.Insert(running, place, started)
		}
	}
}

// Serve runs the system and one shared lane on fresh copies of the same stream, through the number of
// entry instances, which is 1 or RegionMembers.
func Serve(members int, draw func() []*Request) (system, shared []*Request) {
	one := func() Model { return NewSystem(MemberRunners) }
	lane := func() Model {
		return &fifo{
			free: MemberSlots,
		}
	}
	system, shared = draw(), draw()
	if members == 1 {
		Simulate(system, one())
		Simulate(shared, lane())
		return system, shared
	}
	Simulate(system, newRegion(true, one))
	Simulate(shared, newRegion(false, lane))
	return system, shared
}

// Burst draws a stream whose demand rises from 0.6 to 3 times what the slots can do within one second.
func Burst(seed uint64, deadline time.Duration) []*Request {
	return Draw(seed, 1, burstLength, func(at time.Duration) float64 {
		return 0.6 + 2.4*min(max((at-burstRise).Seconds(), 0), 1)
	}, func(_ *rand.Rand, request *Request) {
		request.Item.Deadline = request.At.Add(deadline)
	})
}

const burstRise, burstLength = 3 * time.Second, 12 * time.Second

// Goodput is the share of served requests of a Burst that end inside their deadline, times the share of
// slot time in use, from the moment when demand exceeds the slots. SlotTime is the stricter share of slot
// time that such requests take; it weighs the longest requests most.
func Goodput(all []*Request) (goodput, slotTime float64) {
	from, to := Epoch.Add(burstRise+time.Second/6), Epoch.Add(burstLength)
	var good, used time.Duration
	served, inTime := 0, 0
	for _, request := range all {
		if request.Started.Before(from) || request.Started.After(to) {
			continue
		}
		served++
		end := request.Ended()
		if end.After(to) {
			end = to
		}
		used += end.Sub(request.Started)
		if request.InTime() {
			inTime++
			good += end.Sub(request.Started)
		}
	}
	if served == 0 {
		return 0, 0
	}
	total := float64(MemberSlots * to.Sub(from))
	return float64(inTime) / float64(served) * float64(used) / total, float64(good) / total
}

// Stragglers draws a stream that loads the slots to 85 % with 5 % of the requests 20 times as long.
func Stragglers(seed uint64, members int, constant bool) []*Request {
	return Draw(seed, members, 60*time.Second, func(time.Duration) float64 {
		return 0.85 / (0.95 + 0.05*20)
	}, func(random *rand.Rand, request *Request) {
		if constant {
			request.Service = MeanService
		}
		if random.IntN(20) == 0 {
			request.Item.Lane = parser.LaneLong
			request.Service *= 20
		}
		request.Item.Deadline = request.At.Add(time.Hour)
	})
}

// Waits returns the waits of served requests by lane.
func Waits(all []*Request) map[parser.Lane][]time.Duration {
	waits := map[parser.Lane][]time.Duration{}
	for _, request := range all {
		if !request.Started.IsZero() {
			waits[request.Item.Lane] = append(waits[request.Item.Lane], request.Started.Sub(request.At))
		}
	}
	return waits
}
