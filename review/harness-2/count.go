package main

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

// A call that arrives on an open connection of the leader during its planned stop gets no answer.
func init() {
	scenarios["count"] = scenario{
		options: options{instances: 4, runners: 4, cpu: 16000, maxAttempts: 4, memoryMb: 284},
		play:    playCount,
	}
}

const (
	// contactTime is how long the deployment is calm before the stop.
	contactTime = 4 * time.Second
	// slackTime is how long after its last byte was sent a call may be cut off.
	slackTime = 200 * time.Millisecond
	graceTime = 6 * time.Second
	// countRounds is the number of stops, of whichever instance leads.
	countRounds = 3
	// countConns connections are opened countGap apart, and carry their call countPause later.
	countConns = 10
	countGap   = 100 * time.Millisecond
	countPause = 2500 * time.Millisecond
)

// leader returns the instance whose name the leader key holds, as the platform sees it in its store; nil without one.
func (site *site) leader() *instance {
	var member struct{ Instance string }
	if json.Unmarshal(site.store.value("cell/leader"), &member) != nil {
		return nil
	}
	for _, instance := range site.instances {
		if member.Instance == fmt.Sprintf("front-%d", instance.index) {
			return instance
		}
	}
	return nil
}

func playCount(site *site, trouble bool) error {
	for round := range countRounds {
		time.Sleep(contactTime)
		leader := site.leader()
		if leader == nil {
			return fmt.Errorf("no instance leads")
		}
		var calls sync.WaitGroup
		if trouble {
			leader.signal(syscall.SIGTERM)
		}
		stopped := time.Now()
		// The platform forwards new connections until the second probe of readiness has failed, 1 to 2 s after the stop. A client
		// sends its first call some time after it has connected.
		for index := range countConns {
			time.Sleep(time.Duration(index)*countGap - time.Since(stopped))
			conn, err := net.Dial("tcp", net.JoinHostPort(site.ip(leader.index), strconv.Itoa(site.basePort)))
			if err != nil {
				return err
			}
			calls.Go(func() {
				defer func() { _ = conn.Close() }()
				time.Sleep(countPause)
				site.count(conn, round, stopped)
			})
		}
		calls.Wait()
		if !trouble {
			continue
		}
		select {
		case <-leader.done:
		case <-time.After(graceTime - time.Since(stopped)):
			leader.signal(syscall.SIGKILL)
			<-leader.done
		}
		if err := leader.start(); err != nil {
			return err
		}
	}
	return nil
}

// count asks for the number of jobs that wait, on one connection.
func (site *site) count(conn net.Conn, round int, stopped time.Time) {
	path := site.options.routes[0].prefix()
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Deadline-Ms: 3000\r\n\r\n", path, host); err != nil {
		site.judge.note("round %d: the connection was closed before a call was sent, %d ms after the stop", round, time.Since(stopped).Milliseconds())
		return
	}
	sent := time.Now()
	_ = conn.SetReadDeadline(sent.Add(3 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	var answer []byte
	if err == nil {
		answer, err = io.ReadAll(response.Body)
	}
	took := time.Since(sent)
	after := sent.Sub(stopped).Milliseconds()
	var timeout net.Error
	switch netErr, isNet := err.(net.Error); {
	case err == nil:
		site.judge.note("round %d: GET %s sent %d ms after the stop: %d %s after %d ms", round, path, after, response.StatusCode, strings.TrimSpace(string(answer)), took.Milliseconds())
	case isNet && netErr.Timeout():
		timeout = netErr
		site.judge.note("round %d: GET %s sent %d ms after the stop: no answer within its deadline: %v", round, path, after, timeout)
	case took > slackTime:
		site.judge.breaks("LOST: GET %s, sent %d ms after the SIGTERM of the machine, gets no answer: the connection ends after %d ms (%v)", path, after, took.Milliseconds(), err)
	default:
		site.judge.note("round %d: GET %s sent %d ms after the stop: the connection ends after %d ms, within the slack: %v", round, path, after, took.Milliseconds(), err)
	}
}
