// Package streamer is a discrete-event simulation of interactive requests that are served by the entry
// instances of a region. As a baseline, the same requests are served by one FIFO lane per instance, which refuses
// nothing.
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

// Service times are exponential and drawn from a seed.
const (
	// MeanServiceTime is the mean service time of a request on a runner.
	MeanServiceTime = 20 * time.Millisecond
	// RunnersPerInstance gives about as many slots as one entry instance owns. RegionInstances is the
	// number of entry instances of a region.
	RunnersPerInstance = 6
	RegionInstances    = 3
	SlotsPerInstance   = RunnersPerInstance * router.SlotsPerRunner
)

// StartTime is the time at which streams begin.
var StartTime = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// Request is one request of a stream.
type Request struct {
	// At is the time of arrival. A region moves it into the past by the round trip to a peer, so that the round trip
	// counts as waiting time; the request still arrives in the simulation at the original time.
	At          time.Time
	ServiceTime time.Duration
	Item        queuer.Item
	// Started is zero unless the request was served.
	Started time.Time
}

// Ended returns the time at which a served request ended.
func (request *Request) Ended() time.Time {
	return request.Started.Add(request.ServiceTime)
}

// InTime reports whether the request was served and ended by its deadline.
func (request *Request) InTime() bool {
	return !request.Started.IsZero() && !request.Ended().After(request.Item.Deadline)
}

// Generate returns requests with Poisson arrivals at a rate that varies over time. demand returns the arrival
// rate relative to the capacity of the slots. modify may change a request.
func Generate(seed uint64, instances int, duration time.Duration, demand func(time.Duration) float64, modify func(*rand.Rand, *Request)) []*Request {
	random := rand.New(rand.NewPCG(seed, seed))
	var requests []*Request
	for at := time.Duration(0); ; {
		rate := demand(at) * float64(instances*SlotsPerInstance) / float64(MeanServiceTime)
		at += time.Duration(random.ExpFloat64() / rate)
		if at > duration {
			return requests
		}
		request := &Request{
			At:          StartTime.Add(at),
			ServiceTime: time.Duration(random.ExpFloat64() * float64(MeanServiceTime)),
			Item: queuer.Item{
				ID:       strconv.Itoa(len(requests)),
				Caller:   fmt.Sprint("caller-", random.IntN(20)),
				Lane:     parser.LaneShort,
				Deadline: StartTime.Add(at + 10*MeanServiceTime),
			},
		}
		modify(random, request)
		requests = append(requests, request)
	}
}

// Model is what serves requests in the simulation: an entry instance, its FIFO baseline, or a region of either.
type Model interface {
	// Offer hands over a request that arrives now.
	Offer(now time.Time, id int, request *Request)
	// Next returns a request that starts now.
	Next(now time.Time) (id int, ok bool)
	// Done reports the end of a request.
	Done(now time.Time, id int, request *Request)
}

// Instance is an entry instance: a Queuer and a Router, used in the same way as in the forwarder.
type Instance struct {
	queuer queuer.Queuer
	// Router chooses the runner of each request.
	Router router.Router
	slots  map[int]router.Slot
}

// NewInstance returns an instance with count runners.
func NewInstance(count int) *Instance {
	instance := &Instance{
		slots: map[int]router.Slot{},
	}
	var runners []router.Runner
	for i := range count {
		runners = append(runners, router.Runner{
			ID:      fmt.Sprint("runner-", i),
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i+1)),
		})
	}
	instance.Router.SetRunners(StartTime, runners)
	return instance
}

// Offer implements Model.
func (instance *Instance) Offer(now time.Time, _ int, request *Request) {
	var slots queuer.Slots
	slots.Usable, slots.Free = instance.Router.Slots(now, request.Item.Lane)
	instance.queuer.Offer(now, request.Item, slots)
}

// Next implements Model.
func (instance *Instance) Next(now time.Time) (int, bool) {
	_, short := instance.Router.Slots(now, parser.LaneShort)
	_, long := instance.Router.Slots(now, parser.LaneLong)
	item, _, ok := instance.queuer.Take(now, short > 0, long > 0)
	if !ok {
		return 0, false
	}
	id, _ := strconv.Atoi(item.ID)
	instance.slots[id], _ = instance.Router.Choose(now, item.Lane, "")
	return id, true
}

// Done implements Model.
func (instance *Instance) Done(now time.Time, id int, request *Request) {
	instance.Router.Release(now, instance.slots[id], router.OutcomeSuccess, request.ServiceTime)
	instance.queuer.ObserveServiceTime(now, request.Item.Lane, request.ServiceTime)
	delete(instance.slots, id)
}

// fifo is the baseline of an entry instance: one lane for all requests that refuses nothing.
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

// region is a Model of RegionInstances entry instances. Requests are distributed to them round-robin.
type region struct {
	instances []Model
	// assigned is the index of the instance that serves a request.
	assigned map[int]int
	// peers holds what each instance knows of the others, updated at most every second. It is nil unless the
	// instances forward requests.
	peers      []router.Peers
	lastReport time.Time
}

// newRegion returns a region. If forward is true, newInstance must return values of type *Instance, which
// forward requests to each other.
func newRegion(forward bool, newInstance func() Model) *region {
	region := &region{
		assigned: map[int]int{},
	}
	for range RegionInstances {
		region.instances = append(region.instances, newInstance())
	}
	if forward {
		region.peers = make([]router.Peers, RegionInstances)
	}
	return region
}

// updatePeers tells each instance the free slots of the others, except of those with waiting short requests.
func (region *region) updatePeers(now time.Time) {
	region.lastReport = now
	for i := range region.peers {
		var reports []router.Peer
		for j, model := range region.instances {
			instance := model.(*Instance)
			if _, free := instance.Router.Slots(now, parser.LaneShort); i != j && instance.queuer.Len(parser.LaneShort) == 0 {
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
	if now.Sub(region.lastReport) >= time.Second {
		region.updatePeers(now)
	}
	receiver := id % RegionInstances
	region.assigned[id] = receiver
	if region.peers != nil {
		region.forward(now, id, receiver, request)
	}
	region.instances[region.assigned[id]].Offer(now, id, request)
}

// forward assigns a request to the peer that the receiving instance chooses, if that peer has a free slot. The
// round trip to the peer counts as waiting time even if the peer has none.
func (region *region) forward(now time.Time, id, receiver int, request *Request) {
	receiverInstance, slots := region.instances[receiver].(*Instance), queuer.Slots{}
	slots.Usable, slots.Free = receiverInstance.Router.Slots(now, request.Item.Lane)
	demand := router.Demand{
		ID:       request.Item.ID,
		Deadline: request.Item.Deadline,
	}
	demand.Wait, demand.Service = receiverInstance.queuer.PredictTimes(now, request.Item, slots)
	peerID, ok := region.peers[receiver].Choose(now, demand)
	if !ok {
		return
	}
	request.At = request.At.Add(-router.IntraRegionRoundTrip)
	peer, _ := strconv.Atoi(peerID)
	if _, free := region.instances[peer].(*Instance).Router.Slots(now, request.Item.Lane); free > 0 {
		region.assigned[id] = peer
		return
	}
	region.peers[receiver].Release(peerID, true)
}

func (region *region) Next(now time.Time) (int, bool) {
	for _, instance := range region.instances {
		if id, ok := instance.Next(now); ok {
			return id, true
		}
	}
	return 0, false
}

func (region *region) Done(now time.Time, id int, request *Request) {
	receiver, assigned := id%RegionInstances, region.assigned[id]
	if receiver != assigned {
		region.peers[receiver].Release(strconv.Itoa(assigned), false)
	}
	region.instances[assigned].Done(now, id, request)
}

type completion struct {
	at time.Time
	id int
}

// Simulate serves a stream of requests, which must be sorted by arrival.
func Simulate(requests []*Request, model Model) {
	// running is sorted by completion time.
	var running []completion
	for next := 0; next < len(requests) || len(running) > 0; {
		var now time.Time
		if next < len(requests) && (len(running) == 0 || requests[next].At.Before(running[0].at)) {
			now = requests[next].At
			model.Offer(now, next, requests[next])
			next++
		} else {
			now = running[0].at
			model.Done(now, running[0].id, requests[running[0].id])
			running = running[1:]
		}
		for {
			id, ok := model.Next(now)
			if !ok {
				break
			}
			requests[id].Started = now
			added := completion{
				at: requests[id].Ended(),
				id: id,
			}
			position, _ := slices.BinarySearchFunc(running, added, func(a, b completion) int {
				return a.at.Compare(b.at)
			})
			running = slices.Insert(running, position, added)
		}
	}
}

// SimulateBoth simulates the same stream with entry instances, which the result system holds, and with their FIFO
// baselines. generate must return a fresh copy of the stream on each call. instances is the number of entry
// instances, either 1 or RegionInstances.
func SimulateBoth(instances int, generate func() []*Request) (system, baseline []*Request) {
	newInstance := func() Model { return NewInstance(RunnersPerInstance) }
	newFIFO := func() Model {
		return &fifo{
			free: SlotsPerInstance,
		}
	}
	system, baseline = generate(), generate()
	if instances == 1 {
		Simulate(system, newInstance())
		Simulate(baseline, newFIFO())
		return system, baseline
	}
	Simulate(system, newRegion(true, newInstance))
	Simulate(baseline, newRegion(false, newFIFO))
	return system, baseline
}

// GenerateBurst returns a stream whose demand rises within one second from 0.6 to 3 times the capacity of the
// slots.
func GenerateBurst(seed uint64, deadline time.Duration) []*Request {
	return Generate(seed, 1, burstDuration, func(at time.Duration) float64 {
		return 0.6 + 2.4*min(max((at-burstStart).Seconds(), 0), 1)
	}, func(_ *rand.Rand, request *Request) {
		request.Item.Deadline = request.At.Add(deadline)
	})
}

const burstStart, burstDuration = 3 * time.Second, 12 * time.Second

// Goodput evaluates a stream of GenerateBurst from the moment when demand exceeds the capacity of the slots until
// the end of the arrivals. It counts the requests that start in this period and the slot time that they use in it:
//
//	goodput       = (requests that end by their deadline / requests) * (slot time of all / available slot time)
//	slotTimeShare = slot time of requests that end by their deadline / available slot time
//
// The available slot time is the number of slots times the length of the period.
// slotTimeShare is stricter, because it gives long requests more weight.
func Goodput(requests []*Request) (goodput, slotTimeShare float64) {
	from, to := StartTime.Add(burstStart+time.Second/6), StartTime.Add(burstDuration)
	var inTimeUse, totalUse time.Duration
	served, inTime := 0, 0
	for _, request := range requests {
		if request.Started.Before(from) || request.Started.After(to) {
			continue
		}
		served++
		end := request.Ended()
		if end.After(to) {
			end = to
		}
		totalUse += end.Sub(request.Started)
		if request.InTime() {
			inTime++
			inTimeUse += end.Sub(request.Started)
		}
	}
	if served == 0 {
		return 0, 0
	}
	capacity := float64(SlotsPerInstance * to.Sub(from))
	return float64(inTime) / float64(served) * float64(totalUse) / capacity, float64(inTimeUse) / capacity
}

// GenerateStragglers returns a stream with a slot utilization of 85 %, in which 5 % of the requests take 20
// times as long as the rest. If constantServiceTime is true, all of the rest take MeanServiceTime; otherwise their
// service times are exponential.
func GenerateStragglers(seed uint64, instances int, constantServiceTime bool) []*Request {
	return Generate(seed, instances, 60*time.Second, func(time.Duration) float64 {
		return 0.85 / (0.95 + 0.05*20)
	}, func(random *rand.Rand, request *Request) {
		if constantServiceTime {
			request.ServiceTime = MeanServiceTime
		}
		if random.IntN(20) == 0 {
			request.Item.Lane = parser.LaneLong
			request.ServiceTime *= 20
		}
		request.Item.Deadline = request.At.Add(time.Hour)
	})
}

// Waits returns the waiting times of served requests by lane.
func Waits(requests []*Request) map[parser.Lane][]time.Duration {
	waits := map[parser.Lane][]time.Duration{}
	for _, request := range requests {
		if !request.Started.IsZero() {
			waits[request.Item.Lane] = append(waits[request.Item.Lane], request.Started.Sub(request.At))
		}
	}
	return waits
}
