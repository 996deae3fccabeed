package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// call makes a call of a client. The status is 0 without an answer.
func (cell *cell) call(method string, instance int, path string, body any, timeout time.Duration) (status int, answer []byte) {
	var document []byte
	if body != nil {
		document, _ = json.Marshal(body)
	}
	request, err := http.NewRequest(method, fmt.Sprintf("http://%s:%d%s", cell.ip(instance), cell.base, path), bytes.NewReader(document))
	if err != nil {
		return 0, nil
	}
	request.Host = host
	request.Header.Set("Content-Type", "application/json")
	request.Header.Set("X-Deadline-Ms", "3000")
	client := http.Client{
		Timeout:   timeout,
		Transport: &http.Transport{DisableKeepAlives: true},
	}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	answer, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, answer
}

// callTimeout is how long a client waits for an answer, its deadline of 3 s and the way.
const callTimeout = 3200 * time.Millisecond

// submit hands a job in as a client does, with up to four retries at other instances.
func (cell *cell) submit(path string, body any) (status int) {
	for attempt := range 5 {
		status, _ = cell.call(http.MethodPost, attempt%len(cell.instances), path, body, callTimeout)
		cell.record.add("POST %s at instance %d: %d", path, attempt%len(cell.instances), status)
		if status/100 == 2 {
			return status
		}
		time.Sleep(300 * time.Millisecond)
	}
	return status
}

// state asks for the state of a job.
func (cell *cell) state(path string) string {
	for attempt := range len(cell.instances) {
		status, body := cell.call(http.MethodGet, attempt, path, nil, callTimeout)
		cell.record.add("GET %s at instance %d: %d %s", path, attempt, status, body)
		var answer struct{ State string }
		if status == http.StatusOK && json.Unmarshal(body, &answer) == nil {
			return answer.State
		}
		if status != 0 && status != http.StatusServiceUnavailable && status != http.StatusGatewayTimeout {
			return fmt.Sprint(status)
		}
	}
	return "no answer"
}
