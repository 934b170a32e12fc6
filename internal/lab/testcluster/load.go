package testcluster

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// ClientStats are the results of requests as clients observed them.
type ClientStats struct {
	Requests, Complete, Partial, Failed, WithinTarget int
	PartialEarly                                      int // partial responses within half the latency target
	Latencies                                         *hdrhistogram.Histogram
}

func newClientStats() *ClientStats {
	return &ClientStats{Latencies: hdrhistogram.New(1, 60_000_000, 2)}
}

// QuantileMs returns the q-th percentile of the latencies of all responses, in milliseconds.
func (s *ClientStats) QuantileMs(q float64) float64 {
	return float64(s.Latencies.ValueAtQuantile(q)) / 1000
}

// WithinTargetShare is the share of requests that were answered within the latency target.
func (s *ClientStats) WithinTargetShare() float64 {
	return float64(s.WithinTarget) / float64(max(s.Requests, 1))
}

// dialerFrom returns a dialer with a source address. Proxies identify callers by that address.
func dialerFrom(ip string) *net.Dialer {
	return &net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
}

// SendRequests sends requests at the given rate from random callers to random proxies until ctx ends,
// each on a new connection, and returns what the callers observed. The callers read responses without
// delay.
func (cluster *Cluster) SendRequests(ctx context.Context, path string, rate float64, callers int, target, timeout time.Duration, seed uint64) *ClientStats {
	out := newClientStats()
	var mu sync.Mutex
	var wait sync.WaitGroup
	rng := rand.New(rand.NewPCG(seed, 7))
	for {
		select {
		case <-ctx.Done():
			wait.Wait()
			return out
		case <-time.After(time.Duration(rng.ExpFloat64() / rate * float64(time.Second))):
		}
		wait.Add(1)
		caller, proxy := rng.IntN(callers), rng.IntN(cluster.proxies)
		go func() {
			defer wait.Done()
			begin := time.Now()
			code, missing := cluster.request(fmt.Sprintf("127.251.9.%d", 1+caller), cluster.ProxyAddr(proxy), path, timeout)
			took := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			if out.Requests++; code != http.StatusOK {
				out.Failed++
				return
			}
			out.Latencies.RecordValue(took.Microseconds())
			if took <= target {
				out.WithinTarget++
			}
			if missing == 0 {
				out.Complete++
				return
			}
			if out.Partial++; took <= target/2 {
				out.PartialEarly++
			}
		}()
	}
}

func (cluster *Cluster) request(ip, addr, path string, timeout time.Duration) (code, missing int) {
	c, err := dialerFrom(ip).Dial("tcp4", addr)
	if err != nil {
		return 0, 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(timeout))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: %016x\r\nX-Saddleport-Deadline-Ms: %d\r\nConnection: close\r\n\r\n", path, rand.Uint64(), timeout.Milliseconds())
	p, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0, 0
	}
	defer p.Body.Close()
	if _, err := io.Copy(io.Discard, p.Body); err != nil {
		return 0, 0
	}
	missing, _ = strconv.Atoi(p.Header.Get("X-Saddleport-Missing-Parts"))
	return p.StatusCode, missing
}

// ReadSlowly keeps conns connections of one caller open until ctx ends. Each reads its response at
// the given rate, and is replaced by a new connection with a new request soon after it ends.
func (cluster *Cluster) ReadSlowly(ctx context.Context, ip, path string, conns, bytesPerSecond int) {
	var wait sync.WaitGroup
	for n := range conns {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for ctx.Err() == nil {
				pause := pauseAfterResponse
				if !cluster.readOneSlowly(ctx, ip, cluster.ProxyAddr(n%cluster.proxies), path, bytesPerSecond) {
					pause = pauseAfterFailure
				}
				select {
				case <-ctx.Done():
				case <-time.After(pause):
				}
			}
		}()
	}
	wait.Wait()
}

const (
	pauseAfterResponse = 50 * time.Millisecond // of a slow caller after a connection that returned data, before its next request
	pauseAfterFailure  = time.Second           // the same after a connection that returned none
)

// readOneSlowly sends a request and reads its response slowly. It reports whether any data was
// received.
func (cluster *Cluster) readOneSlowly(ctx context.Context, ip, addr, path string, bytesPerSecond int) (received bool) {
	d := dialerFrom(ip)
	d.Control = func(_, _ string, raw syscall.RawConn) error {
		return raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, 4<<10) })
	}
	c, err := d.DialContext(ctx, "tcp4", addr)
	if err != nil {
		return false
	}
	defer c.Close()
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: %016x\r\nX-Saddleport-Deadline-Ms: 60000\r\n\r\n", path, rand.Uint64())
	buf := make([]byte, max(bytesPerSecond/10, 1))
	for ctx.Err() == nil {
		c.SetReadDeadline(time.Now().Add(10 * time.Second))
		if _, err := c.Read(buf); err != nil {
			return received
		}
		received = true
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return received
}
