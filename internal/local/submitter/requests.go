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

// sendRequests sends the requests of the schedule and returns when all are answered or abandoned.
func (submitter *Submitter) sendRequests(ctx context.Context) {
	slots := make(chan struct{}, maxRequests)
	var group sync.WaitGroup
	defer group.Wait()
	for index, call := range submitter.options.Schedule.Calls {
		result := &submitter.calls[index]
		*result = CallResult{
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
			submitter.sendRequest(ctx, call, result)
			submitter.counts.answered.Add(1)
			<-slots
		})
	}
}

func (submitter *Submitter) sendRequest(ctx context.Context, call planner.Call, result *CallResult) {
	line := &submitter.options.Scenario.Requests[call.Line]
	scheduledAt := submitter.began.Add(call.At)
	echo := echoText(call.Key, line.AnswerBytes)
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
		request.Deadline = scheduledAt.Add(line.Timeout.Duration)
	}
	response, _, err := submitter.client(call.Site, call.Caller).Request(ctx, request)
	result.Latency = time.Since(scheduledAt)
	if err != nil {
		result.Code = errorCode(err)
		result.Fate = descriptor.NewFateRecord(presenter.FateOf(result.Code)).Fate
		return
	}
	result.Code = ""
	result.Fate = descriptor.NewFateRecord(response.Fate).Fate
	if _, done := response.Fate.(descriptor.Done); done {
		result.WrongAnswer = !isAnswer(response.Body, call.Key, echo)
	}
}

// echoText returns a text that is unique to the request with the key, padded to length.
func echoText(key string, length int) string {
	return key + strings.Repeat(".", max(length-len(key), 0))
}

// isAnswer reports whether body is the complete answer to the request with the key.
func isAnswer(body []byte, key, echo string) bool {
	var result runner.Result
	err := json.Unmarshal(body, &result)
	return err == nil && result.Key == key && result.Echo == echo
}
