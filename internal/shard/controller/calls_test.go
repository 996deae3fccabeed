package controller

import (
	"testing"
	"time"

	"pomelomoor/internal/shard/registrar"
	"pomelomoor/internal/shard/signaler"
	"pomelomoor/internal/work/descriptor"
)

// bench is a controller with full authority, whose journal the test plays.
type bench struct {
	t          *testing.T
	controller *Controller
	appends    []signaler.Append
	answers    map[signaler.Request]signaler.AnswerBind
}

func newBench(t *testing.T) *bench {
	bench := &bench{
		t:          t,
		controller: New("hof-0"),
		answers:    map[signaler.Request]signaler.AnswerBind{},
	}
	bench.step(signaler.AuthorityChanged{
		Authority: signaler.AuthorityAct,
	})
	bench.step(signaler.Loaded{
		Epoch: 1,
	})
	return bench
}

func (bench *bench) step(event signaler.Event) {
	for _, action := range bench.controller.Step(epochBegin.Add(time.Second), event) {
		switch action := action.(type) {
		case signaler.Append:
			bench.appends = append(bench.appends, action)
		case signaler.AnswerBind:
			bench.answers[action.Request] = action
		}
	}
}

func (bench *bench) bind(request signaler.Request, name string) {
	bench.step(signaler.Bind{
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

func (bench *bench) expect(request signaler.Request, code descriptor.Code) {
	bench.t.Helper()
	answer, ok := bench.answers[request]
	var got descriptor.Code
	if answer.Problem != nil {
		got = answer.Problem.Code
	}
	if !ok || got != code {
		bench.t.Errorf("request %d: %t, %+v instead of %q", request, ok, answer, code)
	}
}

// Guards against a conflict with a binding that is not durable yet. The journal may refuse the binding,
// or its owner may be lost, and then the key never belonged to the other description.
func TestKeyConflictIsDurable(t *testing.T) {
	for _, durable := range []bool{true, false} {
		bench := newBench(t)
		bench.bind(1, "first")
		bench.bind(2, "second")
		bench.bind(3, "first")
		if len(bench.answers) > 0 || len(bench.appends) != 1 {
			t.Fatalf("answered before the binding is durable: %v", bench.answers)
		}
		token := bench.appends[0].Token
		if durable {
			bench.step(signaler.Written{
				Token: token,
			})
			bench.expect(1, "")
			bench.expect(2, descriptor.CodeKeyConflict)
			bench.expect(3, "")
			continue
		}
		bench.step(signaler.Refused{
			Token: token,
		})
		bench.expect(1, descriptor.CodeUnavailable)
		bench.expect(2, descriptor.CodeUnavailable)
		bench.expect(3, descriptor.CodeUnavailable)
		bench.bind(4, "second")
		bench.step(signaler.Written{
			Token: bench.appends[1].Token,
		})
		bench.expect(4, "")
	}
}

func (bench *bench) accept(id descriptor.JobID) {
	bench.step(signaler.Accept{
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

// write makes everything durable.
func (bench *bench) write() {
	for len(bench.appends) > 0 {
		token := bench.appends[0].Token
		bench.appends = bench.appends[1:]
		bench.step(signaler.Written{
			Token: token,
		})
	}
}

// Guards against the answers of an owner that lost the store. Its successor may have accepted jobs
// and recorded fates since, so an accepted job would be unknown and a job that is done pending again.
func TestFormerOwnerTellsOnlyFinalFates(t *testing.T) {
	bench := newBench(t)
	at := epochBegin.Add(time.Second)
	open := registrar.NewJobID("hof-0", &descriptor.Job{}, at, 1)
	ended := registrar.NewJobID("hof-0", &descriptor.Job{}, at, 2)
	bench.accept(open)
	bench.accept(ended)
	bench.write()
	bench.step(signaler.Cancel{
		Request: 2,
		ID:      ended,
	})
	bench.write()
	for _, test := range []struct {
		authority signaler.Authority
		id        descriptor.JobID
		code      descriptor.Code
		fate      string
	}{
		{signaler.AuthorityAct, open, "", "Pending"},
		{signaler.AuthorityAct, ended, "", "NotRun"},
		{signaler.AuthorityAct, "hof-0.other", descriptor.CodeNotFound, ""},
		{signaler.AuthorityRenew, open, descriptor.CodeUnavailable, ""},
		{signaler.AuthorityRenew, ended, "", "NotRun"},
		{signaler.AuthorityRenew, "hof-0.other", descriptor.CodeUnavailable, ""},
		{signaler.AuthorityNone, ended, descriptor.CodeUnavailable, ""},
	} {
		bench.step(signaler.AuthorityChanged{
			Authority: test.authority,
		})
		var code descriptor.Code
		status, problem := bench.controller.Status(test.id, false)
		if problem != nil {
			code = problem.Code
		}
		if code != test.code || status.Fate.Fate != test.fate {
			t.Errorf("authority %d, job %s: %v, %+v", test.authority, test.id, problem, status.Fate)
		}
	}
}
