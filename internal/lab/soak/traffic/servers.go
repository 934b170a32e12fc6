package traffic

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"saddleport/internal/cluster/registry"
	"saddleport/internal/lab/soak/judge"
	"saddleport/internal/lab/standin"
)

const (
	heartbeatInterval = 1200 * time.Millisecond
	serversPerService = 2
	maxWork           = 20 * time.Millisecond
	callTimeout       = time.Second
	drainMargin       = 500 * time.Millisecond // a draining server keeps serving for so long after the time that the rules require
	replaceInterval   = 3 * time.Second        // between the starts of two servers
	extraServers      = 3                      // servers started by replaceSome that have not been asked to leave
	healthPath        = "/health"
)

// Control is the control plane as servers and operators see it: addresses that are called in turn.
type Control struct {
	Machines  []string
	AddressOf func(machine string) string
	client    *http.Client
}

// NewControl returns the control plane on the given machines.
func NewControl(machines []string, addressOf func(string) string) *Control {
	return &Control{Machines: machines, AddressOf: addressOf, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second}}}
}

// call makes one call. It returns the status 0 if there was no complete response.
func (c *Control) call(ctx context.Context, method, machine, path string, body []byte) (status int, text []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.AddressOf(machine)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer response.Body.Close()
	text, err = io.ReadAll(response.Body)
	if err != nil {
		return 0, nil
	}
	return response.StatusCode, text
}

// Servers are the stand-in servers of all services. At each replaceInterval a server starts and,
// later, another one leaves.
type Servers struct {
	control      *Control
	recorder     *Recorder
	wait         sync.WaitGroup
	mu           sync.Mutex
	startedCount int
}

// StartServers starts the servers. They end with ctx, and Wait returns once they have ended.
func StartServers(ctx context.Context, control *Control, recorder *Recorder, seed uint64) (*Servers, error) {
	s := &Servers{control: control, recorder: recorder}
	rng := rand.New(rand.NewPCG(seed, 61))
	for _, service := range Services() {
		for range serversPerService {
			if err := s.start(ctx, service, rng.Uint64(), nil); err != nil {
				return nil, err
			}
		}
	}
	s.wait.Go(func() { s.replaceSome(ctx, rng) })
	return s, nil
}

// Wait returns once all servers have ended.
func (s *Servers) Wait() { s.wait.Wait() }

// replaceSome starts a server at each replaceInterval and asks the oldest of those to leave once
// more than extraServers of them run.
func (s *Servers) replaceSome(ctx context.Context, rng *rand.Rand) {
	services := Services()
	var leaves []chan struct{}
	for {
		leave := make(chan struct{})
		if s.start(ctx, services[rng.IntN(len(services))], rng.Uint64(), leave) != nil {
			return
		}
		leaves = append(leaves, leave)
		if !sleep(ctx, replaceInterval) {
			return
		}
		if len(leaves) > extraServers {
			close(leaves[0])
			leaves = leaves[1:]
		}
	}
}

// start starts a server. Once leave is closed, the server drains and deregisters.
func (s *Servers) start(ctx context.Context, service string, seed uint64, leave <-chan struct{}) error {
	s.mu.Lock()
	s.startedCount++
	id := fmt.Sprintf("i-%s-%d", service, s.startedCount)
	s.mu.Unlock()
	w := &worker{id: id, service: service, recorder: s.recorder, rng: rand.New(rand.NewPCG(seed, 1))}
	server, err := standin.NewServer(id, w.handle)
	if err != nil {
		return err
	}
	s.wait.Go(func() {
		defer server.Close()
		s.runHeartbeats(ctx, server, service, leave)
	})
	return nil
}

// worker handles the requests of one server.
type worker struct {
	id, service string
	recorder    *Recorder
	mu          sync.Mutex
	rng         *rand.Rand
}

// How often a server misbehaves, as one request in so many: it rejects a request, resets the
// connection after it has executed one, or takes slowWork for one.
const (
	oneInRejected = 100
	oneInReset    = 150
	oneInSlow     = 60
	slowWork      = 250 * time.Millisecond
)

func (w *worker) handle(_ int, seen standin.Seen) standin.Reply {
	if seen.Target == healthPath {
		return standin.Reply{Headers: map[string]string{"X-Saddleport-Instance-Id": w.id}}
	}
	w.mu.Lock()
	work := time.Duration(w.rng.Float64() * w.rng.Float64() * float64(maxWork))
	rejects, resets := w.rng.IntN(oneInRejected) == 0, w.rng.IntN(oneInReset) == 0
	if w.rng.IntN(oneInSlow) == 0 {
		work = slowWork
	}
	w.mu.Unlock()
	if rejects {
		return standin.Reply{Status: http.StatusServiceUnavailable, NotExecuted: true}
	}
	run := judge.Run{Attempt: seen.Attempt, Server: w.id, Service: w.service, Target: seen.Target, At: w.recorder.now(), BrokeOff: resets}
	w.recorder.update(func(r *judge.Record) { r.Runs = append(r.Runs, run) })
	time.Sleep(work)
	if resets {
		return standin.Reply{Reset: true}
	}
	if strings.HasPrefix(w.service, "shard-") {
		return standin.Reply{Body: strings.Join(judge.RecordsOf(w.id, seen.Attempt), "")}
	}
	return standin.Reply{Body: judge.BodyOf(w.id, seen.Attempt)}
}

// runHeartbeats sends heartbeats until the server has left, or ctx ends.
func (s *Servers) runHeartbeats(ctx context.Context, server *standin.Server, service string, leave <-chan struct{}) {
	state, next := registry.LifecycleAvailable, 0
	var servedUntil <-chan time.Time
	for sequence := int64(1); ; sequence++ {
		body, _ := json.Marshal(registry.Heartbeat{Service: service, Addr: server.Addr, Zone: "z0", Revision: "v1", Capacity: 8, State: state, Sequence: sequence})
		machine := s.heartbeat(ctx, server.ID, body, &next)
		if machine != "" && state == registry.LifecycleDraining && servedUntil == nil {
			s.recorder.update(func(r *judge.Record) {
				r.Leaves = append(r.Leaves, judge.Leave{Server: server.ID, AckedAt: s.recorder.now(), Machine: machine})
			})
			servedUntil = time.After(drainTime + drainMargin)
		}
		select {
		case <-ctx.Done():
			return
		case <-leave:
			state, leave = registry.LifecycleDraining, nil
		case <-servedUntil:
			s.control.call(ctx, http.MethodPost, s.control.Machines[next%len(s.control.Machines)], "/Instances.Deregister/"+server.ID, nil)
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat sends a heartbeat to one machine after another until one acknowledges it, and returns
// that machine, or an empty string if none did.
func (s *Servers) heartbeat(ctx context.Context, id string, body []byte, next *int) string {
	for range s.control.Machines {
		machine := s.control.Machines[*next%len(s.control.Machines)]
		if status, _ := s.control.call(ctx, http.MethodPost, machine, "/Instances.Heartbeat/"+id, body); status/100 == 2 {
			return machine
		}
		*next++
	}
	return ""
}

// drainTime is how long a server keeps serving after its leave was acknowledged.
const drainTime = 3 * time.Second

// sleep waits for a span. It returns false if ctx ends first.
func sleep(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
