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
	for index, planned := range submitter.options.Schedule.Requests {
		result := &submitter.requests[index]
		*result = RequestResult{
			Line:        planned.Line,
			At:          planned.At,
			Key:         planned.Key,
			ServiceTime: planned.ServiceTime,
			Fate:        descriptor.NewFateRecord(descriptor.NotRun{}).Fate,
			Code:        descriptor.CodeUnavailable,
		}
		if !submitter.waitUntil(ctx, planned.At) {
			continue
		}
		slots <- struct{}{}
		submitter.counts.sent.Add(1)
		group.Go(func() {
			submitter.sendRequest(ctx, planned, result)
			submitter.counts.answered.Add(1)
			<-slots
		})
	}
}

func (submitter *Submitter) sendRequest(ctx context.Context, planned planner.Request, result *RequestResult) {
	line := &submitter.options.Scenario.Requests[planned.Line]
	scheduledAt := submitter.began.Add(planned.At)
	echo := echoText(planned.Key, line.AnswerBytes)
	body, _ := json.Marshal(runner.Work{
		ServiceTime: descriptor.Duration{
			Duration: planned.ServiceTime,
		},
		Key:  planned.Key,
		Echo: echo,
	})
	request := presenter.Request{
		Service:    submitter.options.Scenario.Runners.Service,
		Caller:     planned.Caller,
		Idempotent: line.Idempotent,
		Labels:     line.Labels,
		Body:       body,
	}
	if line.Timeout.Duration > 0 {
		request.Deadline = scheduledAt.Add(line.Timeout.Duration)
	}
	response, _, err := submitter.client(planned.Site, planned.Caller).Request(ctx, request)
	result.Latency = time.Since(scheduledAt)
	if err != nil {
		result.Code = errorCode(err)
		result.Fate = descriptor.NewFateRecord(presenter.FateOf(result.Code)).Fate
		return
	}
	result.Code = ""
	result.Fate = descriptor.NewFateRecord(response.Fate).Fate
	if _, done := response.Fate.(descriptor.Done); done {
		result.WrongAnswer = !isExpectedResponse(response.Body, planned.Key, echo)
	}
}

// echoText returns a text that is unique to the request with the key, padded to length.
func echoText(key string, length int) string {
	return key + strings.Repeat(".", max(length-len(key), 0))
}

// isExpectedResponse reports whether body is the complete response to the request with the key.
func isExpectedResponse(body []byte, key, echo string) bool {
	var result runner.Result
	err := json.Unmarshal(body, &result)
	return err == nil && result.Key == key && result.Echo == echo
}
