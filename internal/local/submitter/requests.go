package submitter

import (
	"context"
	"encoding/json"
	"strings"
	"sync"
	"time"

	"pomelomoor/internal/entry/presenter"
	"pomelomoor/internal/local/planner"
	"pomelomoor/internal/standin/runner"
	"pomelomoor/internal/work/descriptor"
)

// sendRequests returns when all requests of the schedule are answered or given up.
func (submitter *Submitter) sendRequests(ctx context.Context) {
	slots := make(chan struct{}, maxRequests)
	var group sync.WaitGroup
	defer group.Wait()
	for index, call := range submitter.options.Schedule.Calls {
		seen := &submitter.calls[index]
		*seen = Call{
			Line:        call.Line,
			At:          call.At,
			Key:         call.Key,
			ServiceTime: call.ServiceTime,
			Fate:        descriptor.NewFateRecord(descriptor.NotRun{}).Fate,
			Code:        descriptor.CodeUnavailable,
		}
		if !submitter.waitUntil(ctx, call.At) {
			continue
		}
		slots <- struct{}{}
		submitter.counts.sent.Add(1)
		group.Go(func() {
			submitter.sendRequest(ctx, call, seen)
			submitter.counts.answered.Add(1)
			<-slots
		})
	}
}

func (submitter *Submitter) sendRequest(ctx context.Context, call planner.Call, seen *Call) {
	line := &submitter.options.Scenario.Requests[call.Line]
	due := submitter.began.Add(call.At)
	echo := echoOf(call.Key, line.AnswerBytes)
	body, _ := json.Marshal(runner.Work{
		ServiceTime: descriptor.Duration{
			Duration: call.ServiceTime,
		},
		Key:  call.Key,
		Echo: echo,
	})
	request := presenter.Request{
		Service:    submitter.options.Scenario.Runners.Service,
		Caller:     call.Caller,
		Idempotent: line.Idempotent,
		Labels:     line.Labels,
		Body:       body,
	}
	if line.Timeout.Duration > 0 {
		request.Deadline = due.Add(line.Timeout.Duration)
	}
	response, _, err := submitter.client(call.Site, call.Caller).Request(ctx, request)
	seen.Latency = time.Since(due)
	if err != nil {
		seen.Code = codeOf(err)
		seen.Fate = descriptor.NewFateRecord(presenter.FateOf(seen.Code)).Fate
		return
	}
	seen.Code = ""
	seen.Fate = descriptor.NewFateRecord(response.Fate).Fate
	if _, done := response.Fate.(descriptor.Done); done {
		seen.Wrong = !matches(response.Body, call.Key, echo)
	}
}

// echoOf returns a text that no other request has.
func echoOf(key string, length int) string {
	return key + strings.Repeat(".", max(length-len(key), 0))
}

// matches reports whether body is the complete answer to the request.
func matches(body []byte, key, echo string) bool {
	var result runner.Result
	err := json.Unmarshal(body, &result)
	return err == nil && result.Key == key && result.Echo == echo
}
