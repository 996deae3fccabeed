package main

import (
	"encoding/json"
	"fmt"
	"hash/fnv"
	"io"
	"net/http"
	"sync"
	"time"
)

// maxAdviceWaiting is the number of calls of one machine that may wait at the advice service.
const maxAdviceWaiting = 32

// adviser is the advice service as one machine reaches it. It answers the calls of the machine in turn and allows a share
// of the workers.
type adviser struct {
	cell *cell
	// decision and perWorker are the times of a call, validity that of a ticket.
	decision, perWorker, validity time.Duration
	// allowed is the share of the workers that may run a step.
	allowed float64

	turn    sync.Mutex
	mutex   sync.Mutex
	waiting int
}

func (adviser *adviser) allows(step, worker string) bool {
	sum := fnv.New32a()
	_, _ = io.WriteString(sum, step+"/"+worker)
	return float64(sum.Sum32()%1000) < adviser.allowed*1000
}

// ServeHTTP handles a call of a machine.
func (adviser *adviser) ServeHTTP(writer http.ResponseWriter, request *http.Request) {
	var body struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	document, err := io.ReadAll(request.Body)
	if err != nil || json.Unmarshal(document, &body) != nil || len(body.Workers) > 100 {
		answer(writer, http.StatusBadRequest, nil)
		return
	}
	adviser.mutex.Lock()
	if adviser.waiting >= maxAdviceWaiting {
		adviser.mutex.Unlock()
		answer(writer, http.StatusTooManyRequests, nil)
		return
	}
	adviser.waiting++
	adviser.mutex.Unlock()
	adviser.turn.Lock()
	time.Sleep(adviser.decision + time.Duration(len(body.Workers))*adviser.perWorker)
	adviser.turn.Unlock()
	adviser.mutex.Lock()
	adviser.waiting--
	adviser.mutex.Unlock()
	rows := [][]string{}
	for _, id := range body.Workers {
		worker := adviser.cell.worker(id)
		if worker == nil || !adviser.allows(body.Step, id) {
			continue
		}
		worker.mutex.Lock()
		born := worker.born
		worker.mutex.Unlock()
		ticket := fmt.Sprintf("%s/%s/%d/%d", body.Step, id, born, time.Now().UnixMilli())
		rows = append(rows, []string{id, ticket})
	}
	answer(writer, http.StatusOK, map[string]any{
		"allowed": rows,
	})
}

// valid reports whether a worker accepts a ticket for a step.
func (adviser *adviser) valid(worker *worker, step, ticket string) bool {
	var born, at int64
	prefix := step + "/" + worker.id + "/"
	if len(ticket) <= len(prefix) || ticket[:len(prefix)] != prefix {
		return false
	}
	if _, err := fmt.Sscanf(ticket[len(prefix):], "%d/%d", &born, &at); err != nil {
		return false
	}
	return born == worker.born && time.Since(time.UnixMilli(at)) <= adviser.validity
}
