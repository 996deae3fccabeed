package cell_test

import (
	"bufio"
	"bytes"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"pomelomoor/platform/standin"
)

const (
	// crowdMemoryMb and crowdMaxFds are the limits in the settings of the instance, and reservedFds is the part of the
	// descriptors that the platform reserves for files.
	crowdMemoryMb = 128
	crowdMaxFds   = 700
	reservedFds   = 200
	// crowdConnections is the number of connections that are opened at once.
	crowdConnections = 800
	// crowdBodyBytes is the largest body that the configuration of the stand-in allows.
	crowdBodyBytes = 1 << 18
	// crowdHeaderBytes is a header within the limits of a configuration, which are 16 KB.
	crowdHeaderBytes = 15 << 10
	// crowdWriteTimeout ends the sending on a connection that the instance does not read.
	crowdWriteTimeout = 5 * time.Second
	// crowdHold is how long the crowd stays before the first ordinary call, so that the instance has time to read it.
	crowdHold       = 2 * time.Second
	crowdPieceBytes = 16 << 10
	crowdChunkBytes = 8
)

// crowdKind is what each connection of a crowd sends.
type crowdKind struct {
	name string
	// metrics means that the crowd goes to the port of the metrics in place of the one for callers.
	metrics bool
	payload []byte
	// pieceBytes is the size of the pieces in which the payload is sent; 0 means whole.
	pieceBytes int
}

func crowdPost(header string) string {
	return "POST /plain/00000000000000c1 HTTP/1.1\r\nHost: " + standin.Host + "\r\nContent-Type: application/json\r\n" + header + "\r\n"
}

// crowdBody returns the beginning of a legal submission that lacks its last byte.
func crowdBody() []byte {
	body := append([]byte(`{"spec":"`), bytes.Repeat([]byte("x"), crowdBodyBytes)...)
	return body[:crowdBodyBytes-1]
}

func crowdSmallChunks() []byte {
	payload := []byte(crowdPost("Transfer-Encoding: chunked\r\n"))
	for chunk := range slices.Chunk(crowdBody(), crowdChunkBytes) {
		payload = append(fmt.Appendf(payload, "%x\r\n", len(chunk)), chunk...)
		payload = append(payload, "\r\n"...)
	}
	return payload
}

func crowdHeaderLines(size int) string {
	var lines strings.Builder
	for index := 0; lines.Len() < size; index++ {
		fmt.Fprintf(&lines, "a%d: b\r\n", index)
	}
	return lines.String()
}

func crowdKinds() []crowdKind {
	whole := append([]byte(crowdPost(fmt.Sprintf("Content-Length: %d\r\n", crowdBodyBytes))), crowdBody()...)
	return []crowdKind{
		{
			name:    "whole",
			payload: whole,
		},
		{
			name:       "pieces",
			payload:    whole,
			pieceBytes: crowdPieceBytes,
		},
		{
			name:    "small-chunks",
			payload: crowdSmallChunks(),
		},
		{
			name:    "large-chunk",
			payload: append([]byte(crowdPost("Transfer-Encoding: chunked\r\n")+fmt.Sprintf("%x\r\n", crowdBodyBytes)), crowdBody()...),
		},
		{
			name:    "headers",
			payload: []byte(crowdPost(crowdHeaderLines(crowdHeaderBytes)+"Content-Length: 10\r\n") + `{"spec":"`),
		},
		{
			name:    "endless-headers",
			payload: []byte(strings.TrimSuffix(crowdPost(crowdHeaderLines(700<<10)), "\r\n")),
		},
		{
			name:    "slow-readers",
			metrics: true,
			payload: bytes.Repeat([]byte("GET /metrics HTTP/1.1\r\nHost: "+standin.Host+"\r\n\r\n"), 500),
		},
		{
			name:    "slow-readers-front",
			payload: bytes.Repeat([]byte("GET /plain/00000000000000c2 HTTP/1.1\r\nHost: "+standin.Host+"\r\n\r\n"), 5000),
		},
		{
			name: "silent",
		},
	}
}

// TestCrowds guards against a process that runs out of memory or descriptors since clients send large bodies and headers
// at once, most of which stop just short of their end, do not read their answers, or keep connections without a use.
// Each kind is sent on new connections and on connections that have carried a good request.
func TestCrowds(t *testing.T) {
	for _, kind := range crowdKinds() {
		for _, reused := range []bool{false, true} {
			name := kind.name
			if reused {
				name += "-reused"
			}
			t.Run(name, func(t *testing.T) {
				cell := newLimitedCell(t)
				gauge := cell.instances[0].measure()
				defer gauge.stop()
				conns := cell.sendCrowd(kind, reused)
				time.Sleep(crowdHold)
				cell.awaitOrdinaryCall("00000000000000d1")
				for _, conn := range conns {
					// The instance may have closed it already.
					_ = conn.Close()
				}
				cell.awaitOrdinaryCall("00000000000000d2")
				gauge.stop()
				gauge.check(t)
			})
		}
	}
}

// newLimitedCell starts a cell of one instance with lowered limits.
func newLimitedCell(t *testing.T) *cell {
	t.Helper()
	cell := newCell(t, 1, 1, plainQueue)
	instance := cell.instances[0]
	instance.kill(syscall.SIGKILL)
	settings, err := os.ReadFile(instance.settings)
	if err != nil {
		t.Fatal(err)
	}
	limited := bytes.Replace(settings, []byte("memoryMb = 284\n"), fmt.Appendf(nil, "memoryMb = %d\nmaxFds = %d\n", crowdMemoryMb, crowdMaxFds), 1)
	if bytes.Equal(limited, settings) {
		t.Fatal("the settings have no limit of the memory")
	}
	if err := os.WriteFile(instance.settings, limited, 0o600); err != nil {
		t.Fatal(err)
	}
	instance.start()
	instance.awaitReady()
	cell.awaitServed(plainQueue)
	return cell
}

// awaitOrdinaryCall waits until a submission is answered.
func (cell *cell) awaitOrdinaryCall(id string) {
	cell.t.Helper()
	work := standin.Work{
		Milliseconds: 10,
		MilliCPU:     100,
	}
	cell.await(startTimeout, "an ordinary call to be answered", func() bool {
		status, _ := cell.call(http.MethodPost, 0, "/plain/"+id, job(1, work, false))
		return status == http.StatusOK
	})
}

// sendCrowd opens the connections of a crowd and returns them once each has sent its payload, or cannot send more of it.
func (cell *cell) sendCrowd(kind crowdKind, reused bool) []net.Conn {
	address, firstPath := cell.site.Front(0), "/plain/"
	if kind.metrics {
		address, firstPath = cell.site.Metrics(0), "/metrics"
	}
	var mutex sync.Mutex
	var conns []net.Conn
	var senders sync.WaitGroup
	for range crowdConnections {
		senders.Go(func() {
			conn, err := net.DialTimeout("tcp", address.String(), crowdWriteTimeout)
			if err != nil {
				return
			}
			mutex.Lock()
			conns = append(conns, conn)
			mutex.Unlock()
			if err := conn.SetDeadline(time.Now().Add(crowdWriteTimeout)); err != nil {
				return
			}
			if reused && sendGoodRequest(conn, firstPath) != nil {
				return
			}
			pieceBytes := kind.pieceBytes
			if pieceBytes == 0 {
				pieceBytes = max(len(kind.payload), 1)
			}
			for piece := range slices.Chunk(kind.payload, pieceBytes) {
				if _, err := conn.Write(piece); err != nil {
					return
				}
			}
		})
	}
	senders.Wait()
	return conns
}

func sendGoodRequest(conn net.Conn, path string) error {
	if _, err := fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: %s\r\n\r\n", path, standin.Host); err != nil {
		return err
	}
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	_, err = io.Copy(io.Discard, response.Body)
	return err
}

// usageGauge follows what an instance uses.
type usageGauge struct {
	pid  int
	ip   netip.Addr
	done chan struct{}
	stop func()
	// maxBytes is the largest sum seen of resident memory and of bytes that were received and not read. maxSockets is the
	// largest number of sockets.
	maxBytes   int64
	maxUnread  int64
	maxSockets int
	// peakBytes is the highest resident memory, as the kernel tells it.
	peakBytes int64
}

// measure follows what the process of the instance uses until the gauge is stopped.
func (instance *instance) measure() *usageGauge {
	gauge := &usageGauge{
		pid:  instance.command.Process.Pid,
		ip:   instance.cell.site.Front(instance.index).Addr(),
		done: make(chan struct{}),
	}
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		for {
			gauge.sample()
			select {
			case <-gauge.done:
				return
			case <-ticker.C:
			}
		}
	}()
	gauge.stop = sync.OnceFunc(func() {
		close(gauge.done)
		<-ended
	})
	return gauge
}

func (gauge *usageGauge) sample() {
	sockets := 0
	directory := fmt.Sprintf("/proc/%d/fd", gauge.pid)
	// A process or descriptor that is gone uses nothing.
	entries, _ := os.ReadDir(directory)
	for _, entry := range entries {
		target, err := os.Readlink(filepath.Join(directory, entry.Name()))
		if err == nil && strings.HasPrefix(target, "socket:") {
			sockets++
		}
	}
	gauge.maxSockets = max(gauge.maxSockets, sockets)
	resident := readStatus(gauge.pid, "VmRSS:")
	unread := unreadBytes(gauge.ip)
	gauge.maxUnread = max(gauge.maxUnread, unread)
	gauge.maxBytes = max(gauge.maxBytes, resident+unread)
	gauge.peakBytes = max(gauge.peakBytes, readStatus(gauge.pid, "VmHWM:"))
}

// check fails the test if the process used more than the settings grant.
func (gauge *usageGauge) check(t *testing.T) {
	t.Helper()
	const (
		maxBytes   = crowdMemoryMb << 20
		maxSockets = crowdMaxFds - reservedFds
	)
	t.Logf("peak of the memory %d MB, with unread bytes %d MB, unread %d MB, sockets %d",
		gauge.peakBytes>>20, gauge.maxBytes>>20, gauge.maxUnread>>20, gauge.maxSockets)
	if gauge.peakBytes == 0 {
		t.Error("the memory of the process is not known")
	}
	if gauge.peakBytes > maxBytes || gauge.maxBytes > maxBytes {
		t.Errorf("the process used %d MB and %d MB with unread bytes, want at most %d MB", gauge.peakBytes>>20, gauge.maxBytes>>20, crowdMemoryMb)
	}
	if gauge.maxSockets > maxSockets {
		t.Errorf("the process had %d sockets, want at most %d", gauge.maxSockets, maxSockets)
	}
}

// readStatus returns the bytes in a field of the status of a process, or 0 if it has ended.
func readStatus(pid int, field string) int64 {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}
	for line := range strings.Lines(string(status)) {
		fields := strings.Fields(line)
		if len(fields) > 1 && fields[0] == field {
			kilobytes, _ := strconv.ParseInt(fields[1], 10, 64)
			return kilobytes << 10
		}
	}
	return 0
}

// unreadBytes returns how many bytes have arrived on the connections of an address that were not read.
func unreadBytes(ip netip.Addr) int64 {
	const (
		localField   = 1
		stateField   = 3
		queuesField  = 4
		listenState  = "0A"
		minTCPFields = 5
	)
	table, err := os.ReadFile("/proc/net/tcp")
	if err != nil {
		return 0
	}
	octets := ip.As4()
	slices.Reverse(octets[:])
	prefix := strings.ToUpper(hex.EncodeToString(octets[:])) + ":"
	total := int64(0)
	for line := range strings.Lines(string(table)) {
		fields := strings.Fields(line)
		if len(fields) < minTCPFields || !strings.HasPrefix(fields[localField], prefix) || fields[stateField] == listenState {
			continue
		}
		_, received, _ := strings.Cut(fields[queuesField], ":")
		unread, _ := strconv.ParseInt(received, 16, 64)
		total += unread
	}
	return total
}
