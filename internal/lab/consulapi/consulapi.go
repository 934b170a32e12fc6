// Package consulapi is a stand-in for a Consul agent, written from its published HTTP
// API: the health and catalogue endpoints with blocking queries, and the agent's
// service and check endpoints. It owns what it is told to say, and its faults. It must
// never answer better than a real one may: an index only grows unless it is reset, a
// wait ends when it is over, and what it has told it says it has told.
package consulapi

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Instance is one instance of the service.
type Instance struct {
	ID, Node, Site, Kind string
	Address              string // host:port
	Cell                 int
	DC                   string // empty: the agent's own, dc1
	Since                int64  // ms; 0: long ago
	Status               string // passing, warning, critical
	Maintenance          bool   // the operator's word: drain
	Tags                 []string
	Meta                 map[string]string
}

// Faults are how an agent errs. All may change at any time.
type Faults struct {
	Silent        bool          // takes calls and answers none
	NoLeader      bool          // answers 500, or from a server that knows no leader where stale answers are asked for
	Empty         bool          // says that there is nothing
	LastContact   time.Duration // since the server that answers heard of the leader
	Delay         time.Duration // before each answer
	RequiredToken string        // is wanted
}

// Server is one agent.
type Server struct {
	Addr string
	// Told, if set, is called once an answer with this instance has been written.
	OnSent func(i Instance, at time.Time)

	service string
	http    *http.Server

	mu       sync.Mutex
	index    int64
	faults   Faults
	all      map[string]Instance
	order    []string
	changed  chan struct{} // closed at the next change
	agent    map[string]*own
	calls    int
	renewals int
}

// own is what registered itself.
type own struct {
	Name, Address string
	Port          int
	TTL           time.Duration
	passed        time.Time
}

const answerTime = 90 * time.Second

// Listen starts an agent that knows one service.
func Listen(service string, instances []Instance) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: ln.Addr().String(), service: service, index: 100, all: make(map[string]Instance), changed: make(chan struct{}), agent: make(map[string]*own)}
	for _, i := range instances {
		s.all[i.ID] = i
		s.order = append(s.order, i.ID)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/health/service/{name}", s.read)
	mux.HandleFunc("GET /v1/catalog/service/{name}", s.read)
	mux.HandleFunc("PUT /v1/agent/service/register", s.register)
	mux.HandleFunc("PUT /v1/agent/service/deregister/{id}", s.deregister)
	mux.HandleFunc("PUT /v1/agent/check/pass/{id}", s.pass)
	s.http = &http.Server{Handler: s.gate(mux), ReadHeaderTimeout: 5 * time.Second, WriteTimeout: answerTime}
	go s.http.Serve(ln)
	return s, nil
}

// Close ends the agent and what waits for it.
func (s *Server) Close() { s.http.Close() }

// change does something under the lock, at a new index, and wakes those that wait.
func (s *Server) change(do func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	do()
	s.index++
	close(s.changed)
	s.changed = make(chan struct{})
}

// Put changes or adds an instance.
func (s *Server) Put(i Instance) {
	s.change(func() {
		if _, known := s.all[i.ID]; !known {
			s.order = append(s.order, i.ID)
		}
		s.all[i.ID] = i
	})
}

// Remove takes an instance out of the catalogue.
func (s *Server) Remove(id string) {
	s.change(func() {
		delete(s.all, id)
		s.order = slices.DeleteFunc(s.order, func(o string) bool { return o == id })
	})
}

// Set changes the faults; those that wait are woken.
func (s *Server) Set(f func(*Faults)) { s.change(func() { f(&s.faults) }) }

// Reset has the index begin anew, as after a restore.
func (s *Server) ResetIndex() { s.change(func() { s.index = 10 }) }

// Calls counts the calls that came, and the renewals of checks among them.
func (s *Server) Calls() (all, renewals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.renewals
}

// Registered are the ids that registered themselves and whose check passes.
func (s *Server) Registered() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.agent {
		if time.Since(o.passed) < o.TTL {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// Forget has the agent lose what registered itself, as one started anew.
func (s *Server) ForgetRegistrations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.agent)
}

// gate counts, delays, and turns away.
func (s *Server) gate(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		s.calls++
		f := s.faults
		s.mu.Unlock()
		if f.Silent {
			<-r.Context().Done()
			return
		}
		if f.Delay > 0 {
			time.Sleep(f.Delay)
		}
		if f.RequiredToken != "" && r.Header.Get("X-Consul-Token") != f.RequiredToken {
			http.Error(w, "Permission denied", http.StatusForbidden)
			return
		}
		next.ServeHTTP(w, r)
	})
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	index, _ := strconv.ParseInt(q.Get("index"), 10, 64)
	wait, err := time.ParseDuration(q.Get("wait"))
	if err != nil {
		wait = 5 * time.Minute
	}
	_, stale := q["stale"]
	dc := q.Get("dc")
	if dc == "" {
		dc = ownDC
	}
	end := time.After(wait + wait/16)
	s.mu.Lock()
	for waiting := index > 0; waiting && s.index == index; {
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
		s.mu.Lock()
	}
	f, now := s.faults, s.index
	var list []Instance
	if !f.Empty && r.PathValue("name") == s.service {
		for _, id := range s.order {
			if i := s.all[id]; dc == i.dc() {
				list = append(list, i)
			}
		}
	}
	s.mu.Unlock()
	if f.Silent {
		<-r.Context().Done()
		return
	}
	if f.NoLeader && !stale {
		http.Error(w, "No cluster leader", http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("X-Consul-Index", strconv.FormatInt(now, 10))
	w.Header().Set("X-Consul-KnownLeader", strconv.FormatBool(!f.NoLeader))
	w.Header().Set("X-Consul-LastContact", strconv.FormatInt(f.LastContact.Milliseconds(), 10))
	health := strings.HasPrefix(r.URL.Path, "/v1/health/")
	out := []any{}
	for _, i := range list {
		out = append(out, i.form(health, s.service))
	}
	if json.NewEncoder(w).Encode(out) != nil || s.OnSent == nil {
		return
	}
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
	at := time.Now()
	for _, i := range list {
		s.OnSent(i, at)
	}
}

const ownDC = "dc1"

func (i Instance) dc() string {
	if i.DC == "" {
		return ownDC
	}
	return i.DC
}

// form is an instance as the two endpoints show it.
func (i Instance) form(health bool, service string) any {
	host, port, _ := net.SplitHostPort(i.Address)
	n, _ := strconv.Atoi(port)
	meta := map[string]string{"cell": strconv.Itoa(i.Cell), "kind": i.Kind, "site": i.Site}
	if i.Since > 0 {
		meta["since_ms"] = strconv.FormatInt(i.Since, 10)
	}
	for k, v := range i.Meta {
		meta[k] = v
	}
	weights := map[string]int{"Passing": 1, "Warning": 1}
	if !health {
		return map[string]any{"Node": i.Node, "Address": "127.0.0.1", "Datacenter": i.dc(), "ServiceID": i.ID, "ServiceName": service, "ServiceAddress": host,
			"ServicePort": n, "ServiceTags": i.Tags, "ServiceMeta": meta, "ServiceWeights": weights}
	}
	checks := []map[string]any{{"Node": i.Node, "CheckID": "serfHealth", "Status": "passing", "ServiceID": ""},
		{"Node": i.Node, "CheckID": "service:" + i.ID, "Status": i.Status, "ServiceID": i.ID, "ServiceName": service}}
	if i.Maintenance {
		checks = append(checks, map[string]any{"Node": i.Node, "CheckID": "_service_maintenance:" + i.ID, "Status": "critical", "ServiceID": i.ID})
	}
	return map[string]any{"Node": map[string]any{"Node": i.Node, "Address": "127.0.0.1", "Datacenter": i.dc()},
		"Service": map[string]any{"ID": i.ID, "Service": service, "Address": host, "Port": n, "Tags": i.Tags, "Meta": meta, "Weights": weights},
		"Checks":  checks}
}

// ---- The agent.

func (s *Server) register(w http.ResponseWriter, r *http.Request) {
	var b struct {
		ID, Name, Address string
		Port              int
		Check             struct{ TTL, Status string }
	}
	if err := json.NewDecoder(r.Body).Decode(&b); err != nil || b.Name == "" {
		http.Error(w, "Bad request", http.StatusBadRequest)
		return
	}
	ttl, err := time.ParseDuration(b.Check.TTL)
	if err != nil {
		http.Error(w, "Bad TTL", http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.agent[b.ID] = &own{b.Name, b.Address, b.Port, ttl, time.Now()}
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.agent[r.PathValue("id")] == nil {
		http.Error(w, "Unknown service", http.StatusNotFound)
		return
	}
	delete(s.agent, r.PathValue("id"))
}

func (s *Server) pass(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := strings.TrimPrefix(r.PathValue("id"), "service:")
	o := s.agent[id]
	if o == nil {
		http.Error(w, "Unknown check", http.StatusNotFound)
		return
	}
	s.renewals++
	o.passed = time.Now()
}
