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
	rng, lock := rand.New(rand.NewPCG(seed, 1)), sync.Mutex{}
	server, err := standin.NewServer(id, func(_ int, seen standin.Seen) standin.Reply {
		if seen.Target == healthPath {
			return standin.Reply{Headers: map[string]string{"X-Saddleport-Instance-Id": id}}
		}
		s.recorder.update(func(r *judge.Record) {
			r.Runs = append(r.Runs, judge.Run{Attempt: seen.Attempt, Server: id, Service: service, Target: seen.Target, At: s.recorder.now()})
		})
		lock.Lock()
		work := time.Duration(rng.Float64() * rng.Float64() * float64(workMost))
		lock.Unlock()
		time.Sleep(work)
		body := judge.BodyOf(id, seen.Attempt)
		if strings.HasPrefix(service, "shard-") {
			body = strings.Join(judge.RecordsOf(id, seen.Attempt), "")
		}
		return standin.Reply{Body: body}
	})
	if err != nil {
		return err
	}
	s.wait.Go(func() {
		defer server.Close()
		s.live(ctx, server, service, leave)
	})
	return nil
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
