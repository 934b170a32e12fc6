package harness2

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Record is the record of a case: what was sent, answered and run.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

// NewRecord creates the file record.txt in a folder.
func NewRecord(dir string) (*Record, error) {
	file, err := os.Create(dir + "/record.txt")
	return &Record{file: file, start: time.Now()}, err
}

// At returns a time as seconds from the start of the record.
func (r *Record) At(t time.Time) string { return fmt.Sprintf("%7.3f", t.Sub(r.start).Seconds()) }

// Printf adds a line with the present time.
func (r *Record) Printf(format string, args ...any) { r.PrintfAt(time.Now(), format, args...) }

// PrintfAt adds a line with a given time.
func (r *Record) PrintfAt(t time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%s s  %s\n", r.At(t), fmt.Sprintf(format, args...))
}

// Verdict adds a line, prints it, and returns the exit status.
func (r *Record) Verdict(status int, format string, args ...any) int {
	text := fmt.Sprintf(format, args...)
	r.Printf("verdict %d: %s", status, text)
	fmt.Println(text)
	return status
}

// Arrival is a request that reached a server.
type Arrival struct {
	At      time.Time
	Attempt string
	Ran     bool
}

// Server is a stand-in for one life of a server, as PROTOCOL.md describes it.
type Server struct {
	ID, Service, Addr, Zone string
	Work                    time.Duration

	fleet    *Fleet
	http     *http.Server
	sequence atomic.Int64
	draining atomic.Bool
	endpoint string // for later beats; empty: none
	next     int    // in the operators' list
	stop     context.CancelFunc

	mu       sync.Mutex
	arrivals []Arrival
	stamps   int
}

// StartServer starts a server on its own loopback address and its heartbeats.
func (f *Fleet) StartServer(n int, id, service, zone string, work time.Duration) (*Server, error) {
	s := &Server{ID: id, Service: service, Addr: f.ServerIP(n), Zone: zone, Work: work, fleet: f, next: n}
	ln, err := net.Listen("tcp4", s.Addr)
	if err != nil {
		return nil, err
	}
	s.http = &http.Server{Handler: http.HandlerFunc(s.handle)}
	go s.http.Serve(ln)
	ctx, stop := context.WithCancel(context.Background())
	s.stop = stop
	go s.beat(ctx)
	return s, nil
}

// End ends the server.
func (s *Server) End() {
	s.stop()
	s.http.Close()
}

// StopBeats ends the heartbeats, as a server does that has deregistered.
func (s *Server) StopBeats() { s.stop() }

// Arrivals returns the requests that have reached the server.
func (s *Server) Arrivals() []Arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Arrival(nil), s.arrivals...)
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	if r.URL.Path == "/health" {
		w.Header().Set("X-Saddleport-Instance-Id", s.ID)
		io.WriteString(w, "well\n")
		return
	}
	at := time.Now()
	attempt := r.Header.Get("X-Saddleport-Attempt-Id")
	io.Copy(io.Discard, r.Body)
	target := r.Header.Get("X-Saddleport-Target-Instance")
	ran := target == "" || target == s.ID
	s.mu.Lock()
	s.arrivals = append(s.arrivals, Arrival{at, attempt, ran})
	s.stamps++
	stamp := fmt.Sprintf("%x.%x.%s", s.stamps, len(s.ID), s.ID)
	s.mu.Unlock()
	w.Header().Set("X-Saddleport-Attempt-Id", attempt)
	if !ran {
		w.Header().Set("X-Saddleport-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	select {
	case <-time.After(s.Work):
	case <-r.Context().Done():
		return
	}
	body := []byte(strings.Repeat("0123456789abcdef", 4))
	w.Header().Set("X-Saddleport-Response-Signature", stamp)
	w.Header().Set("Content-Length", strconv.Itoa(len(body)))
	w.Write(body)
}

// beat sends heartbeats until ctx ends.
func (s *Server) beat(ctx context.Context) {
	for ctx.Err() == nil {
		s.call(ctx, "/Instances.Heartbeat/", s.heartbeat())
		select {
		case <-ctx.Done():
		case <-time.After(BeatTime):
		}
	}
}

func (s *Server) heartbeat() []byte {
	state := "available"
	if s.draining.Load() {
		state = "draining"
	}
	body, _ := json.Marshal(map[string]any{"target_service": s.Service, "address": s.Addr, "zone": s.Zone, "revision": "v1", "capacity": 3,
		"lifecycle_state": state, "warmup_left_ms": 0, "sequence": s.sequence.Add(1)})
	return body
}

// Deregister sends Instances.Deregister, to the address of its beats first, until it is
// acknowledged. It returns when and by which address.
func (s *Server) Deregister(timeout time.Duration) (at time.Time, by string, ok bool) {
	s.StopBeats()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	by, ok = s.call(ctx, "/Instances.Deregister/", nil)
	at = time.Now()
	s.fleet.Record.PrintfAt(at, "server %s (%s): Instances.Deregister acknowledged: %t, by %s", s.ID, s.Service, ok, by)
	return at, by, ok
}

// call makes a call to the control plane: at the endpoint that the last answer named, then at one
// machine of the list after another. It follows redirects twice.
func (s *Server) call(ctx context.Context, path string, body []byte) (by string, ok bool) {
	client := &http.Client{Timeout: time.Second, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	pause := 50 * time.Millisecond
	for ctx.Err() == nil {
		addr := s.endpoint
		if addr == "" {
			list := s.fleet.Controls()
			addr = list[s.next%len(list)]
		}
		for redirects := 0; redirects <= 2; redirects++ {
			request, err := http.NewRequestWithContext(ctx, "POST", "http://"+addr+path+s.ID, strings.NewReader(string(body)))
			if err != nil {
				return "", false
			}
			request.Header.Set("Content-Type", "application/json")
			answer, err := client.Do(request)
			if err != nil {
				break
			}
			text, err := io.ReadAll(io.LimitReader(answer.Body, 4097))
			answer.Body.Close()
			if err == nil && answer.StatusCode/100 == 2 && len(text) <= 4096 {
				var named struct {
					Endpoint string `json:"heartbeat_endpoint"`
				}
				json.Unmarshal(text, &named)
				if s.endpoint = addr; named.Endpoint != "" {
					s.endpoint = named.Endpoint
				}
				return addr, true
			}
			to, err := url.Parse(answer.Header.Get("Location"))
			if answer.StatusCode != http.StatusTemporaryRedirect || err != nil || to.Host == "" {
				break
			}
			addr = to.Host
		}
		s.endpoint = ""
		s.next++
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, time.Second)
	}
	return "", false
}
