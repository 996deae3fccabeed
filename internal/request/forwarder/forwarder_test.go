package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"

	"pomelomoor/internal/config/parser"
	"pomelomoor/internal/gateway/lister"
	"pomelomoor/internal/gateway/requester"
	"pomelomoor/internal/member/peerpb"
	"pomelomoor/internal/request/router"
	"pomelomoor/internal/work/descriptor"
)

// upstream simulates runners. It records the requests that it ran, and with faults it responds to some of
// them late, wrongly or not at all.
type upstream struct {
	t *testing.T

	mu          sync.Mutex
	random      *rand.Rand
	faults      bool
	runs        map[string]int
	ids         map[string]bool
	inFlight    map[netip.AddrPort]int
	maxInFlight int
	// responses holds all responses so far, some of which are repeated for other attempts.
	responses []requester.Response
	leaving   map[netip.AddrPort]bool
	// busy is the number of upcoming requests to refuse as busy.
	busy int
}

func newUpstream(t *testing.T, seed uint64, faults bool) *upstream {
	return &upstream{
		t:        t,
		random:   rand.New(rand.NewPCG(seed, seed)),
		faults:   faults,
		runs:     map[string]int{},
		ids:      map[string]bool{},
		inFlight: map[netip.AddrPort]int{},
		leaving:  map[netip.AddrPort]bool{},
	}
}

func (upstream *upstream) Send(ctx context.Context, runner netip.AddrPort, request requester.Request) (requester.Response, error) {
	fault, took, err := upstream.begin(ctx, runner, request)
	if err != nil {
		return requester.Response{}, err
	}
	defer upstream.end(runner)
	timer := time.NewTimer(took)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
		return requester.Response{}, requester.ErrUncertain
	}
	response := requester.Response{
		ID:     request.ID,
		Status: 200,
		Body:   []byte("response to " + string(request.Body)),
	}
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.responses = append(upstream.responses, response)
	switch fault {
	case 1:
		return requester.Response{}, requester.ErrUncertain
	case 2:
		response.Status = 500
	case 3:
		// A response to another attempt, as on a connection that mixes up the order of its responses.
		return upstream.responses[upstream.random.IntN(len(upstream.responses))], nil
	case 4:
		return requester.Response{}, errors.New("error of no known kind")
	}
	return response, nil
}

func (upstream *upstream) begin(ctx context.Context, runner netip.AddrPort, request requester.Request) (fault int, took time.Duration, err error) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	if upstream.ids[request.ID] {
		upstream.t.Errorf("two attempts have the ID %s", request.ID)
	}
	upstream.ids[request.ID] = true
	deadline, ok := ctx.Deadline()
	if !ok || deadline.After(request.Deadline.Add(requester.ResponseGrace)) || !request.Deadline.After(time.Now()) {
		upstream.t.Errorf("attempt ends at %v with the deadline %v at %v", deadline, request.Deadline, time.Now())
	}
	if upstream.faults {
		fault = upstream.random.IntN(20)
	}
	if upstream.leaving[runner] {
		return 0, 0, requester.ErrLeaving
	}
	if upstream.busy > 0 {
		upstream.busy--
		return 0, 0, requester.ErrBusy
	}
	if upstream.inFlight[runner] >= router.SlotsPerRunner || fault == 5 {
		return 0, 0, requester.ErrBusy
	}
	upstream.inFlight[runner]++
	upstream.maxInFlight = max(upstream.maxInFlight, upstream.inFlight[runner])
	upstream.runs[string(request.Body)]++
	took = time.Duration(5+upstream.random.IntN(20)) * time.Millisecond
	if fault == 6 {
		took = time.Second
	}
	return fault, took, nil
}

func (upstream *upstream) end(runner netip.AddrPort) {
	upstream.mu.Lock()
	defer upstream.mu.Unlock()
	upstream.inFlight[runner]--
}

func address(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(i))
}

func runners(count int) lister.List {
	var list lister.List
	for i := range count {
		list.Instances = append(list.Instances, lister.Instance{
			ID:      fmt.Sprint("runner-", i),
			Role:    lister.RoleRunner,
			State:   lister.StateLive,
			Service: "desk",
			Address: address(i + 1),
			Place: descriptor.Place{
				Region: "kigali",
			},
		})
	}
	return list
}

func newForwarder(t *testing.T, upstream *upstream) *Forwarder {
	forwarder, stop := New(Options{
		Self:      "a",
		Region:    "kigali",
		Requester: upstream,
	})
	t.Cleanup(stop)
	return forwarder
}

// pair holds two entry instances of one region that forward to each other.
type pair struct {
	forwarders map[string]*Forwarder
	// forwards counts how often each body was forwarded.
	mu       sync.Mutex
	forwards map[string]int
}

func newPair(t *testing.T, upstream *upstream, list lister.List) *pair {
	pair := &pair{
		forwarders: map[string]*Forwarder{},
		forwards:   map[string]int{},
	}
	for _, name := range []string{"a", "b"} {
		forwarder, stop := New(Options{
			Self:      name,
			Region:    "kigali",
			Requester: upstream,
			Forward:   pair.forward,
		})
		t.Cleanup(stop)
		forwarder.SetInstances(list)
		pair.forwarders[name] = forwarder
	}
	pair.exchange()
	return pair
}

func (pair *pair) exchange() {
	var peers []Peer
	for name, forwarder := range pair.forwarders {
		peers = append(peers, Peer{
			ID:     name,
			Region: "kigali",
			Free:   forwarder.FreeSlots(),
		})
	}
	for _, forwarder := range pair.forwarders {
		forwarder.SetPeers([]string{"a", "b"}, peers)
	}
}

func (pair *pair) forward(ctx context.Context, peer string, request *peerpb.ForwardRequest) (*peerpb.ForwardReply, error) {
	pair.mu.Lock()
	pair.forwards[string(request.GetBody())]++
	total := len(pair.forwards)
	pair.mu.Unlock()
	if total%7 == 0 {
		return nil, ErrNotRun
	}
	response := pair.forwarders[peer].ServeForward(ctx, request)
	if total%11 == 0 {
		return nil, errors.New("connection lost before the response")
	}
	if total%13 == 0 {
		response.Id = "another request"
		response.Body = []byte("response to another request")
	}
	return response, nil
}

// Guards against responses that reach another caller, second runs of non-idempotent work, the fate NotRun
// for work that ran, repeated forwards, and leaked slots (I3 to I5).
func TestFates(t *testing.T) {
	for seed := range uint64(5) {
		synctest.Test(t, func(t *testing.T) {
			upstream := newUpstream(t, seed, true)
			pair := newPair(t, upstream, runners(3))
			fates := send(t, seed, upstream, pair)
			for _, fate := range []string{"Done", "NotRun", "Failed", "Unknown"} {
				if fates[fate] == 0 {
					t.Errorf("no request ended as %s: %v", fate, fates)
				}
			}
			for body, count := range pair.forwards {
				if count > 1 {
					t.Errorf("%s was forwarded %d times", body, count)
				}
			}
			if len(pair.forwards) < 20 {
				t.Errorf("%d requests were forwarded", len(pair.forwards))
			}
			checkIdle(t, pair)
		})
	}
}

// send sends requests with random deadlines and cancellations, checks their results and returns the
// number of requests per fate.
func send(t *testing.T, seed uint64, upstream *upstream, pair *pair) map[string]int {
	fates := map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	random := rand.New(rand.NewPCG(seed, 1))
	for i := range 1500 {
		// All times are whole milliseconds, so that some waits end at the same time as their grant.
		<-time.After(time.Duration(random.IntN(3)) * time.Millisecond)
		if i%25 == 0 {
			pair.exchange()
		}
		body := fmt.Sprint("request ", i)
		// Most requests go to instance a, so that it has to forward some.
		forwarder := pair.forwarders[[]string{"a", "a", "a", "b"}[i%4]]
		request := Request{
			Service:    "desk",
			Caller:     fmt.Sprint(i % 5),
			Deadline:   time.Now().Add(time.Duration(50+random.IntN(200)) * time.Millisecond),
			Idempotent: i%2 == 0,
			Body:       []byte(body),
		}
		ctx, cancel := context.WithCancel(t.Context())
		if i%10 == 0 {
			time.AfterFunc(time.Duration(random.IntN(30))*time.Millisecond, cancel)
		}
		wait.Go(func() {
			defer cancel()
			result := forwarder.Do(ctx, request)
			mu.Lock()
			defer mu.Unlock()
			fates[descriptor.NewFateRecord(result.Fate).Fate]++
			checkFate(t, upstream, request, result)
		})
	}
	wait.Wait()
	return fates
}

func checkFate(t *testing.T, upstream *upstream, request Request, result Result) {
	body := string(request.Body)
	upstream.mu.Lock()
	runs := upstream.runs[body]
	upstream.mu.Unlock()
	if !request.Idempotent && runs > 1 {
		t.Errorf("non-idempotent %s ran %d times", body, runs)
	}
	end := request.Deadline
	if _, notRun := result.Fate.(descriptor.NotRun); !notRun {
		// Only a request that was sent may wait for a response past its deadline.
		end = end.Add(forwardGrace)
	}
	if time.Now().After(end) {
		t.Errorf("%s ended too long after its deadline", body)
	}
	if _, done := result.Fate.(descriptor.Done); done != (result.Problem == nil) {
		t.Errorf("%s ended as %#v with problem %v", body, result.Fate, result.Problem)
	}
	switch result.Fate.(type) {
	case descriptor.Done:
		if runs == 0 || result.Status != 200 || string(result.Body) != "response to "+body {
			t.Errorf("%s ran %d times and got %d %q", body, runs, result.Status, result.Body)
		}
	case descriptor.NotRun:
		if runs > 0 {
			t.Errorf("%s ended as NotRun but ran: %v", body, result.Problem)
		}
	case descriptor.Failed:
		if runs == 0 {
			t.Errorf("%s ended as Failed but did not run", body)
		}
	case descriptor.Unknown:
		if result.Problem.Code != descriptor.CodeUncertain {
			t.Errorf("%s ended as Unknown with %v", body, result.Problem)
		}
	}
}

// checkIdle guards against slots or waiters that remain after their requests have ended.
func checkIdle(t *testing.T, pair *pair) {
	for name, forwarder := range pair.forwarders {
		if err := forwarder.Drain(t.Context()); err != nil {
			t.Errorf("drain: %v", err)
		}
		empty := lister.List{
			Instances: []lister.Instance{},
		}
		forwarder.SetInstances(empty)
		<-time.After(time.Hour)
		forwarder.SetInstances(empty)
		if len(forwarder.services) > 0 {
			t.Errorf("%s still holds slots or requests", name)
		}
	}
}

// Guards against a drain that interrupts requests in progress or never finishes (I7).
func TestDrain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := newUpstream(t, 1, false)
		forwarder := newForwarder(t, upstream)
		forwarder.SetInstances(runners(1))
		request := Request{
			Service: "desk",
			Caller:  "kiosk",
		}
		var wait sync.WaitGroup
		ended := 0
		var mu sync.Mutex
		for range 30 {
			wait.Go(func() {
				result := forwarder.Do(t.Context(), request)
				mu.Lock()
				defer mu.Unlock()
				ended++
				if result.Problem != nil {
					t.Errorf("request in progress ended with %v", result.Problem)
				}
			})
		}
		synctest.Wait()
		short, cancel := context.WithTimeout(t.Context(), time.Millisecond)
		defer cancel()
		if err := forwarder.Drain(short); !errors.Is(err, context.DeadlineExceeded) {
			t.Fatalf("drain with requests in progress: %v", err)
		}
		result := forwarder.Do(t.Context(), request)
		if result.Problem == nil || result.Problem.Code != descriptor.CodeDraining {
			t.Fatalf("new request ended with %v", result.Problem)
		}
		if err := forwarder.Drain(t.Context()); err != nil {
			t.Fatal(err)
		}
		wait.Wait()
		if ended != 30 {
			t.Fatalf("%d of 30 requests ended", ended)
		}
	})
}

// Guards against work that is sent to a runner which is listed as leaving or refused as leaving (I6),
// and against long work on all slots of a runner.
func TestRunners(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := newUpstream(t, 1, false)
		forwarder := newForwarder(t, upstream)
		compiled, err := parser.Compile(1, parser.Config{
			Policies: []parser.Policy{
				{
					Name:     "long",
					Selector: "Match=Long",
					Lane:     parser.LaneLong,
				},
			},
		})
		if err != nil {
			t.Fatal(err)
		}
		forwarder.SetConfig(compiled)
		list := runners(3)
		list.Instances[0].State = lister.StateLeaving
		forwarder.SetInstances(list)
		upstream.leaving[address(2)] = true
		var wait sync.WaitGroup
		for i := range 100 {
			wait.Go(func() {
				result := forwarder.Do(t.Context(), Request{
					Service: "desk",
					Caller:  "kiosk",
					Labels: descriptor.Labels{
						"Match": "Long",
					},
					Body: fmt.Append(nil, i),
				})
				if result.Problem != nil {
					t.Errorf("request ended with %v", result.Problem)
				}
			})
		}
		wait.Wait()
		if upstream.maxInFlight != router.SlotsPerRunner/2 {
			t.Errorf("long work held %d slots of a runner", upstream.maxInFlight)
		}
		if _, used := upstream.inFlight[address(1)]; used {
			t.Error("work was sent to a runner that is listed as leaving")
		}
		// One extra attempt, which the second runner refused.
		if attempts := len(upstream.ids); attempts != 101 {
			t.Errorf("%d attempts for 100 requests", attempts)
		}
	})
}

// Guards against requests that keep waiting after a runner's pause has ended, if no other request ends
// and triggers dispatch, and against runners that are dropped because the list did not change.
func TestPauseEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		upstream := newUpstream(t, 1, false)
		upstream.busy = 2
		forwarder := newForwarder(t, upstream)
		forwarder.SetInstances(runners(1))
		forwarder.SetInstances(lister.List{})
		result := forwarder.Do(t.Context(), Request{
			Service:  "desk",
			Caller:   "kiosk",
			Deadline: time.Now().Add(time.Second),
		})
		if result.Problem != nil {
			t.Fatal(result.Problem)
		}
	})
}

// Guards against forwarded requests that wait at a peer whose report was out of date, although their
// own instance would serve them sooner.
func TestForwardedRequestDoesNotQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		forwarder := newForwarder(t, newUpstream(t, 1, false))
		forwarder.SetInstances(runners(1))
		request := &peerpb.ForwardRequest{
			Id:                 "x.1",
			Service:            "desk",
			Caller:             "kiosk",
			DeadlineUnixMillis: time.Now().Add(time.Second).UnixMilli(),
		}
		// A new runner may have only one slot in use until its first response.
		var wait sync.WaitGroup
		wait.Go(func() {
			if response := forwarder.ServeForward(t.Context(), request); response.GetFate() != "Done" || response.GetId() != "x.1" {
				t.Errorf("first request got %v", response)
			}
		})
		synctest.Wait()
		started := time.Now()
		response := forwarder.ServeForward(t.Context(), request)
		if response.GetFate() != "NotRun" || !time.Now().Equal(started) {
			t.Errorf("second request got %v after %v", response, time.Since(started))
		}
		wait.Wait()
	})
}
