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
	serversOfService  = 2
	workMost          = 20 * time.Millisecond
	callTimeout       = time.Second
	afterDrain        = 500 * time.Millisecond // a server serves on so long beyond what the rules ask
	leaveInterval     = 3 * time.Second        // between two servers that come
	extraServers      = 3                      // that came and have not been told to leave
	healthPath        = "/health"
)

// Control is the control plane as servers and operators see it: addresses to try in turn.
type Control struct {
	Machines  []string
	AddressOf func(machine string) string
	client    *http.Client
}

// NewControl returns the control plane at some machines.
func NewControl(machines []string, addressOf func(string) string) *Control {
	return &Control{Machines: machines, AddressOf: addressOf, client: &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: 8, IdleConnTimeout: 20 * time.Second}}}
}

// call makes one call; 0: there was no answer.
func (c *Control) call(ctx context.Context, method, machine, path string, body []byte) (status int, text []byte) {
	request, err := http.NewRequestWithContext(ctx, method, "http://"+c.AddressOf(machine)+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil
	}
	request.Header.Set("Content-Type", "application/json")
	answer, err := c.client.Do(request)
	if err != nil {
		return 0, nil
	}
	defer answer.Body.Close()
	text, err = io.ReadAll(answer.Body)
	if err != nil {
		return 0, nil
	}
	return answer.StatusCode, text
}

// Servers are the stand-in servers of all services. Now and then one leaves and another comes.
type Servers struct {
	control  *Control
	recorder *Recorder
	wait     sync.WaitGroup
	mu       sync.Mutex
	made     int
}

// StartServers starts them; they end with ctx, and Wait returns then.
func StartServers(ctx context.Context, control *Control, recorder *Recorder, seed uint64) (*Servers, error) {
	s := &Servers{control: control, recorder: recorder}
	rng := rand.New(rand.NewPCG(seed, 61))
	for _, service := range Services() {
		for range serversOfService {
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

// replaceSome has one server after another leave in order, each some time after it came.
func (s *Servers) replaceSome(ctx context.Context, rng *rand.Rand) {
	services := Services()
	var leaves []chan struct{}
	for {
		leave := make(chan struct{})
		if s.start(ctx, services[rng.IntN(len(services))], rng.Uint64(), leave) != nil {
			return
		}
		leaves = append(leaves, leave)
		if !pause(ctx, leaveInterval) {
			return
		}
		if len(leaves) > extraServers {
			close(leaves[0])
			leaves = leaves[1:]
		}
	}
}

// start starts a server; it leaves in order once leave is closed.
func (s *Servers) start(ctx context.Context, service string, seed uint64, leave <-chan struct{}) error {
	s.mu.Lock()
	s.made++
	id := fmt.Sprintf("i-%s-%d", service, s.made)
	s.mu.Unlock()
	w := &worker{id: id, service: service, recorder: s.recorder, rng: rand.New(rand.NewPCG(seed, 1))}
	server, err := standin.NewServer(id, w.answer)
	if err != nil {
		return err
	}
	s.wait.Go(func() {
		defer server.Close()
		s.live(ctx, server, service, leave)
	})
	return nil
}

// worker answers the requests of one server.
type worker struct {
	id, service string
	recorder    *Recorder
	mu          sync.Mutex
	rng         *rand.Rand
}

// How often a server errs, one request in so many: it turns one away, breaks off after it has run
// one, or takes long.
const (
	oneInTurnedAway = 100
	oneInBrokenOff  = 150
	oneInSlow       = 60
	slowWork        = 250 * time.Millisecond
)

func (w *worker) answer(_ int, seen standin.Seen) standin.Reply {
	if seen.Target == healthPath {
		return standin.Reply{Headers: map[string]string{"X-Saddleport-Instance-Id": w.id}}
	}
	w.mu.Lock()
	work := time.Duration(w.rng.Float64() * w.rng.Float64() * float64(workMost))
	turnsAway, breaksOff := w.rng.IntN(oneInTurnedAway) == 0, w.rng.IntN(oneInBrokenOff) == 0
	if w.rng.IntN(oneInSlow) == 0 {
		work = slowWork
	}
	w.mu.Unlock()
	if turnsAway {
		return standin.Reply{Status: http.StatusServiceUnavailable, NotExecuted: true}
	}
	run := judge.Run{Attempt: seen.Attempt, Server: w.id, Service: w.service, Target: seen.Target, At: w.recorder.now(), BrokeOff: breaksOff}
	w.recorder.update(func(r *judge.Record) { r.Runs = append(r.Runs, run) })
	time.Sleep(work)
	if breaksOff {
		return standin.Reply{Reset: true}
	}
	if strings.HasPrefix(w.service, "shard-") {
		return standin.Reply{Body: strings.Join(judge.RecordsOf(w.id, seen.Attempt), "")}
	}
	return standin.Reply{Body: judge.BodyOf(w.id, seen.Attempt)}
}

// live sends heartbeats until the server has left, or ctx ends.
func (s *Servers) live(ctx context.Context, server *standin.Server, service string, leave <-chan struct{}) {
	state, turn := registry.LifecycleAvailable, 0
	var servedUntil <-chan time.Time
	for sequence := int64(1); ; sequence++ {
		body, _ := json.Marshal(registry.Heartbeat{Service: service, Addr: server.Addr, Zone: "z0", Revision: "v1", Capacity: 8, State: state, Sequence: sequence})
		machine := s.heartbeat(ctx, server.ID, body, &turn)
		if machine != "" && state == registry.LifecycleDraining && servedUntil == nil {
			s.recorder.update(func(r *judge.Record) {
				r.Leaves = append(r.Leaves, judge.Leave{Server: server.ID, AckedAt: s.recorder.now(), Machine: machine})
			})
			servedUntil = time.After(drainTime + afterDrain)
		}
		select {
		case <-ctx.Done():
			return
		case <-leave:
			state, leave = registry.LifecycleDraining, nil
		case <-servedUntil:
			s.control.call(ctx, http.MethodPost, s.control.Machines[turn%len(s.control.Machines)], "/Instances.Deregister/"+server.ID, nil)
			return
		case <-time.After(heartbeatInterval):
		}
	}
}

// heartbeat calls one machine after another until one acknowledges, and returns which did.
func (s *Servers) heartbeat(ctx context.Context, id string, body []byte, turn *int) string {
	for range s.control.Machines {
		machine := s.control.Machines[*turn%len(s.control.Machines)]
		if status, _ := s.control.call(ctx, http.MethodPost, machine, "/Instances.Heartbeat/"+id, body); status/100 == 2 {
			return machine
		}
		*turn++
	}
	return ""
}

// drainTime is how long a server serves on after its leave was acknowledged.
const drainTime = 3 * time.Second

// pause waits; it returns false if ctx ends first.
func pause(ctx context.Context, span time.Duration) bool {
	timer := time.NewTimer(span)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
