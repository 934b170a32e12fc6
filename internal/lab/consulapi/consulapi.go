// Package consulapi is a stand-in for a Consul agent, written from its published HTTP API: the
// health and catalogue endpoints with blocking queries, and the agent's service and check
// endpoints. It injects faults. It never guarantees more than a real agent: an index only
// grows unless it is reset, a blocking query ends at its wait time, and OnSent reports each
// instance that a response contained.
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
	DC                   string // datacentre; empty: the agent's own, dc1
	Since                int64  // start time in ms; 0: long ago
	Status               string // passing, warning, critical
	Maintenance          bool   // set by the operator to drain the instance
	Tags                 []string
	Meta                 map[string]string
}

// Faults are the injected faults. Each may change at any time.
type Faults struct {
	Silent        bool          // accepts calls and never responds
	NoLeader      bool          // responds 500, or, to a query that allows stale answers, with KnownLeader false
	Empty         bool          // responds with no instances
	LastContact   time.Duration // since the responding server last heard from the leader
	Delay         time.Duration // before each response
	RequiredToken string        // calls without this token are rejected
}

// Server is one agent.
type Server struct {
	Addr string
	// OnSent, if set, is called after a response that contains the instance has been written.
	OnSent func(i Instance, at time.Time)

	service string
	http    *http.Server

	mu         sync.Mutex
	index      int64
	faults     Faults
	all        map[string]Instance
	order      []string
	changed    chan struct{} // closed at the next change
	registered map[string]*registration
	calls      int
	renewals   int
}

// registration is a service that registered itself with the agent.
type registration struct {
	Name, Address string
	Port          int
	TTL           time.Duration
	passed        time.Time
}

const writeTimeout = 90 * time.Second

// Listen starts an agent with one service and its instances.
func Listen(service string, instances []Instance) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: ln.Addr().String(), service: service, index: 100, all: make(map[string]Instance), changed: make(chan struct{}), registered: make(map[string]*registration)}
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
	s.http = &http.Server{Handler: s.injectFaults(mux), ReadHeaderTimeout: 5 * time.Second, WriteTimeout: writeTimeout}
	go s.http.Serve(ln)
	return s, nil
}

// Close stops the agent and ends the pending calls.
func (s *Server) Close() { s.http.Close() }

// change applies a change under the lock, increments the index and wakes the blocking queries.
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

// Remove removes an instance from the catalogue.
func (s *Server) Remove(id string) {
	s.change(func() {
		delete(s.all, id)
		s.order = slices.DeleteFunc(s.order, func(o string) bool { return o == id })
	})
}

// Set changes the faults and wakes the blocking queries.
func (s *Server) Set(f func(*Faults)) { s.change(func() { f(&s.faults) }) }

// ResetIndex sets the index back to a low value, as a restore of Consul does.
func (s *Server) ResetIndex() { s.change(func() { s.index = 10 }) }

// Calls returns the number of calls received and, of these, of renewals of checks.
func (s *Server) Calls() (all, renewals int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.calls, s.renewals
}

// Registered returns the ids of the services that registered themselves and whose check passes.
func (s *Server) Registered() (ids []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, o := range s.registered {
		if time.Since(o.passed) < o.TTL {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}

// ForgetRegistrations deletes the registrations, as a restart of the agent does.
func (s *Server) ForgetRegistrations() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.registered)
}

// injectFaults counts a call and delays, rejects or leaves it unanswered as the faults require.
func (s *Server) injectFaults(next http.Handler) http.Handler {
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
		out = append(out, i.encode(health, s.service))
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

// encode returns an instance in the format of the health or the catalogue endpoint.
func (i Instance) encode(health bool, service string) any {
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

// ---- Endpoints of the agent.

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
	s.registered[b.ID] = &registration{b.Name, b.Address, b.Port, ttl, time.Now()}
}

func (s *Server) deregister(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.registered[r.PathValue("id")] == nil {
		http.Error(w, "Unknown service", http.StatusNotFound)
		return
	}
	delete(s.registered, r.PathValue("id"))
}

func (s *Server) pass(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	id := strings.TrimPrefix(r.PathValue("id"), "service:")
	o := s.registered[id]
	if o == nil {
		http.Error(w, "Unknown check", http.StatusNotFound)
		return
	}
	s.renewals++
	o.passed = time.Now()
}
