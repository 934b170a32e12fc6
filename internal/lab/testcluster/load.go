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

// Seen is what the clients of one kind saw.
type Seen struct {
	Asked, Whole, Partial, Failed, InAim int
	PartialEarly                         int // partial answers within half the aim
	Took                                 *hdrhistogram.Histogram
}

func newSeen() *Seen { return &Seen{Took: hdrhistogram.New(1, 60_000_000, 2)} }

// Ms is a quantile of the times of all answers, in milliseconds.
func (s *Seen) Ms(q float64) float64 { return float64(s.Took.ValueAtQuantile(q)) / 1000 }

// Share is the part of requests that were answered within their aim.
func (s *Seen) Share() float64 { return float64(s.InAim) / float64(max(s.Asked, 1)) }

// from dials from an address of its own: a caller is known by that.
func from(ip string) *net.Dialer {
	return &net.Dialer{Timeout: 2 * time.Second, LocalAddr: &net.TCPAddr{IP: net.ParseIP(ip)}}
}

// Ask has prompt callers ask gathers for so long, each on a connection of its own, and
// tells what they saw.
func (y *Cluster) Ask(ctx context.Context, path string, rate float64, callers int, aim, patience time.Duration, seed uint64) *Seen {
	out := newSeen()
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
		caller, mixer := rng.IntN(callers), rng.IntN(y.proxies)
		go func() {
			defer wait.Done()
			begin := time.Now()
			code, missing := y.once(fmt.Sprintf("127.251.9.%d", 1+caller), y.Front(mixer), path, patience)
			took := time.Since(begin)
			mu.Lock()
			defer mu.Unlock()
			if out.Asked++; code != http.StatusOK {
				out.Failed++
				return
			}
			out.Took.RecordValue(took.Microseconds())
			if took <= aim {
				out.InAim++
			}
			if missing == 0 {
				out.Whole++
				return
			}
			if out.Partial++; took <= aim/2 {
				out.PartialEarly++
			}
		}()
	}
}

func (y *Cluster) once(ip, addr, path string, patience time.Duration) (code, missing int) {
	c, err := from(ip).Dial("tcp4", addr)
	if err != nil {
		return 0, 0
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(patience))
	fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: %016x\r\nX-Saddleport-Deadline-Ms: %d\r\nConnection: close\r\n\r\n", path, rand.Uint64(), patience.Milliseconds())
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

// Trickle has one caller hold connections and read each answer at so many bytes a second,
// asking anew as soon as a connection ends, until ctx does.
func (y *Cluster) ReadSlowly(ctx context.Context, ip, path string, conns, bytesPerSecond int) {
	var wait sync.WaitGroup
	for n := range conns {
		wait.Add(1)
		go func() {
			defer wait.Done()
			for ctx.Err() == nil {
				pause := againTime
				if !y.trickle(ctx, ip, y.Front(n%y.proxies), path, bytesPerSecond) {
					pause = turnedTime
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
	againTime  = 50 * time.Millisecond // after an answer, before a slow caller asks again
	turnedTime = time.Second           // and after a connection that ended without one
)

// trickle reads one answer slowly, and tells whether any of it came.
func (y *Cluster) trickle(ctx context.Context, ip, addr, path string, bytesPerSecond int) (came bool) {
	d := from(ip)
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
			return came
		}
		came = true
		select {
		case <-ctx.Done():
		case <-time.After(100 * time.Millisecond):
		}
	}
	return came
}
