package controller

import (
	"testing"
	"time"

	"pomelomoor/internal/shard/registrar"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// harness drives a controller that has full authority. The test acts as its journal.
type harness struct {
	t              *testing.T
	controller     *Controller
	pendingAppends []signaler.Append
	answers        map[signaler.RequestID]signaler.AnswerBind
}

func newHarness(t *testing.T) *harness {
	harness := &harness{
		t:          t,
		controller: New("hof-0"),
		answers:    map[signaler.RequestID]signaler.AnswerBind{},
	}
	harness.step(signaler.AuthorityChanged{
		Authority: signaler.AuthorityFull,
	})
	harness.step(signaler.Loaded{
		Epoch: 1,
	})
	return harness
}

func (harness *harness) step(event signaler.Event) {
	for _, action := range harness.controller.Step(simulationStart.Add(time.Second), event) {
		switch action := action.(type) {
		case signaler.Append:
			harness.pendingAppends = append(harness.pendingAppends, action)
		case signaler.AnswerBind:
			harness.answers[action.Request] = action
		}
	}
}

func (harness *harness) bind(request signaler.RequestID, name string) {
	harness.step(signaler.Bind{
		Request: request,
		Job: descriptor.Job{
			Name:   name,
			Caller: "yard",
			Key:    "note",
		},
		Targets: []descriptor.ShardID{"hof-0"},
		Nonce:   uint64(request),
	})
}

func (harness *harness) expectCode(request signaler.RequestID, code descriptor.Code) {
	harness.t.Helper()
	answer, ok := harness.answers[request]
	var got descriptor.Code
	if answer.Problem != nil {
		got = answer.Problem.Code
	}
	if !ok || got != code {
		harness.t.Errorf("request %d: answered %t, got %+v, want code %q", request, ok, answer, code)
	}
}

// Guards against answering with a key conflict while the binding is not durable. If the journal refuses
// the binding or the owner crashes, the key was never bound to the other description.
func TestKeyConflictIsDurable(t *testing.T) {
	for _, durable := range []bool{true, false} {
		harness := newHarness(t)
		harness.bind(1, "first")
		harness.bind(2, "second")
		harness.bind(3, "first")
		if len(harness.answers) > 0 || len(harness.pendingAppends) != 1 {
			t.Fatalf("answered before the binding is durable: %v", harness.answers)
		}
		token := harness.pendingAppends[0].Token
		if durable {
			harness.step(signaler.Written{
				Token: token,
			})
			harness.expectCode(1, "")
			harness.expectCode(2, descriptor.CodeKeyConflict)
			harness.expectCode(3, "")
			continue
		}
		harness.step(signaler.Refused{
			Token: token,
		})
		harness.expectCode(1, descriptor.CodeUnavailable)
		harness.expectCode(2, descriptor.CodeUnavailable)
		harness.expectCode(3, descriptor.CodeUnavailable)
		harness.bind(4, "second")
		harness.step(signaler.Written{
			Token: harness.pendingAppends[1].Token,
		})
		harness.expectCode(4, "")
	}
}

func (harness *harness) accept(id descriptor.JobID) {
	harness.step(signaler.Accept{
		Request: 1,
		ID:      id,
		Job: descriptor.Job{
			Name:   "note",
			Caller: "yard",
			Kind:   descriptor.KindBatch,
			Task:   capacity,
		},
	})
}

// write makes all pending appends durable.
func (harness *harness) write() {
	for len(harness.pendingAppends) > 0 {
		token := harness.pendingAppends[0].Token
		harness.pendingAppends = harness.pendingAppends[1:]
		harness.step(signaler.Written{
			Token: token,
		})
	}
}

// Guards against outdated answers from an owner that has lost its connection to the store. The next owner
// may have accepted jobs and recorded fates since, so the former owner would report an accepted job as not
// found, or a finished job as pending.
func TestFormerOwnerTellsOnlyFinalFates(t *testing.T) {
	harness := newHarness(t)
	createdAt := simulationStart.Add(time.Second)
	pending := registrar.NewJobID("hof-0", &descriptor.Job{}, createdAt, 1)
	ended := registrar.NewJobID("hof-0", &descriptor.Job{}, createdAt, 2)
	harness.accept(pending)
	harness.accept(ended)
	harness.write()
	harness.step(signaler.Cancel{
		Request: 2,
		ID:      ended,
	})
	harness.write()
	for _, test := range []struct {
		authority signaler.Authority
		id        descriptor.JobID
		code      descriptor.Code
		fate      string
	}{
		{signaler.AuthorityFull, pending, "", "Pending"},
		{signaler.AuthorityFull, ended, "", "NotRun"},
		{signaler.AuthorityFull, "hof-0.other", descriptor.CodeNotFound, ""},
		{signaler.AuthorityRenewOnly, pending, descriptor.CodeUnavailable, ""},
		{signaler.AuthorityRenewOnly, ended, "", "NotRun"},
		{signaler.AuthorityRenewOnly, "hof-0.other", descriptor.CodeUnavailable, ""},
		{signaler.AuthorityNone, ended, descriptor.CodeUnavailable, ""},
	} {
		harness.step(signaler.AuthorityChanged{
			Authority: test.authority,
		})
		var code descriptor.Code
		status, problem := harness.controller.Status(test.id, false)
		if problem != nil {
			code = problem.Code
		}
		if code != test.code || status.Fate.Fate != test.fate {
			t.Errorf("authority %d, job %s: %v, %+v", test.authority, test.id, problem, status.Fate)
		}
	}
}
