package harness2

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Sent is a request of a client: one try.
type Sent struct {
	Attempt string
	Machine int // the frontend machine that took it
	At      time.Time
	Done    time.Time
	Status  int // 0: the connection ended, or no answer came in time
	Stamp   string
}

// Clients are clients that send requests at a steady rate over kept connections.
type Clients struct {
	mu   sync.Mutex
	sent map[string]*Sent
	wait sync.WaitGroup
	stop context.CancelFunc
}

// NewID returns a random id of 16 hexadecimal digits.
func NewID() string {
	var b [8]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// Route describes the requests that clients send.
type Route struct {
	Method, Host, Path, Body string
	Deadline                 time.Duration
}

// StartClients starts clients, each of which sends a request to one machine each interval.
func (f *Fleet) StartClients(machines []int, perMachine int, interval time.Duration, route Route) *Clients {
	ctx, stop := context.WithCancel(context.Background())
	c := &Clients{sent: make(map[string]*Sent), stop: stop}
	for _, machine := range machines {
		for range perMachine {
			c.wait.Go(func() { c.run(ctx, f, machine, interval, route) })
		}
	}
	return c
}

// Stop ends the clients and returns their requests, by id.
func (c *Clients) Stop() map[string]*Sent {
	c.stop()
	c.wait.Wait()
	return c.sent
}

func (c *Clients) run(ctx context.Context, f *Fleet, machine int, interval time.Duration, route Route) {
	client := &http.Client{Transport: &http.Transport{DisableCompression: true}, Timeout: route.Deadline}
	tick := time.NewTicker(interval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		s := &Sent{Attempt: NewID(), Machine: machine, At: time.Now()}
		request, err := http.NewRequest(route.Method, "http://"+f.FrontAddr(machine)+route.Path, strings.NewReader(route.Body))
		if err != nil {
			return
		}
		request.Host = route.Host
		request.Header.Set("X-Saddleport-Attempt-Id", s.Attempt)
		request.Header.Set("X-Saddleport-Deadline-Ms", strconv.FormatInt(route.Deadline.Milliseconds(), 10))
		if answer, err := client.Do(request); err == nil {
			if _, err = io.Copy(io.Discard, answer.Body); err == nil {
				s.Status, s.Stamp = answer.StatusCode, answer.Header.Get("X-Saddleport-Response-Signature")
			}
			answer.Body.Close()
		}
		s.Done = time.Now()
		c.mu.Lock()
		c.sent[s.Attempt] = s
		c.mu.Unlock()
	}
}

// All adds to the record what was sent and answered, and what reached the servers.
func (r *Record) All(sent map[string]*Sent, servers []*Server) {
	for _, s := range slices.SortedFunc(maps.Values(sent), func(a, b *Sent) int { return a.At.Compare(b.At) }) {
		r.PrintfAt(s.At, "sent %s to machine %d, answered at %s: %d %s", s.Attempt, s.Machine, r.At(s.Done), s.Status, s.Stamp)
	}
	for _, server := range servers {
		for _, a := range server.Arrivals() {
			r.PrintfAt(a.At, "server %s: %s arrives, run: %t", server.ID, a.Attempt, a.Ran)
		}
	}
}
