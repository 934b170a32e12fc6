// Package disco is a stand-in for the platform's discovery service: the list of servers and
// its watch over HTTP on a loopback address. It assigns the versions and never sends changes
// out of order.
package disco

import (
	"encoding/json"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Entry is one server of the list, in the platform's format.
type Entry struct {
	Name    string  `json:"name"`
	Address string  `json:"address"`
	Zone    string  `json:"zone"`
	Type    string  `json:"type"`
	Group   int     `json:"group"`
	Status  string  `json:"status"`
	Weight  float64 `json:"weight"`
	Since   int64   `json:"since_ms"`
}

// Answer is a response of the discovery service.
type Answer struct {
	Index     int64   `json:"index"`
	Snapshot  bool    `json:"snapshot"`
	Endpoints []Entry `json:"endpoints"`
}

// Server is one instance of the discovery service.
type Server struct {
	Addr string
	// OnSent, if set, is called after a response that contains the change has been written.
	OnSent func(e Entry, at time.Time)

	http *http.Server

	mu      sync.Mutex
	index   int64
	entries map[string]*versioned
	order   []string
	changed chan struct{} // closed at the next change
	silent  bool
	down    bool
}

type versioned struct {
	Entry
	index int64
}

// Listen starts a service whose list holds the given servers.
func Listen(entries []Entry) (*Server, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{Addr: ln.Addr().String(), index: 1, entries: make(map[string]*versioned), changed: make(chan struct{})}
	for _, e := range entries {
		s.entries[e.Name] = &versioned{e, 1}
		s.order = append(s.order, e.Name)
	}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /api/targets", s.targets)
	s.http = &http.Server{Handler: mux, ReadHeaderTimeout: 5 * time.Second, WriteTimeout: 90 * time.Second}
	go s.http.Serve(ln)
	return s, nil
}

// Close stops the service and ends the watches.
func (s *Server) Close() { s.http.Close() }

// Put changes or adds an entry.
func (s *Server) Put(e Entry) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.index++
	if s.entries[e.Name] == nil {
		s.order = append(s.order, e.Name)
	}
	s.entries[e.Name] = &versioned{e, s.index}
	close(s.changed)
	s.changed = make(chan struct{})
}

// Snapshot returns the complete current list.
func (s *Server) Snapshot() Answer {
	a, _ := s.since(-1)
	return a
}

// since returns the changes after an index (all entries if it is negative) and a channel that
// is closed at the next change.
func (s *Server) since(index int64) (Answer, chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	a := Answer{Index: s.index, Snapshot: index < 0, Endpoints: []Entry{}}
	for _, name := range s.order {
		if e := s.entries[name]; e.index > index && !(index < 0 && e.Status == "DELETED") {
			a.Endpoints = append(a.Endpoints, e.Entry)
		}
	}
	return a, s.changed
}

// SetUnavailable makes the service unresponsive (on), or respond 503 at once (on and down), or
// work again (off).
func (s *Server) SetUnavailable(on, down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.silent, s.down = on && !down, on && down
	close(s.changed) // wakes the watches, which then see the new state
	s.changed = make(chan struct{})
}

// serveUnavailable handles a call while the service is unavailable and reports whether it was.
func (s *Server) serveUnavailable(w http.ResponseWriter, r *http.Request) bool {
	s.mu.Lock()
	silent, down := s.silent, s.down
	s.mu.Unlock()
	if silent {
		<-r.Context().Done()
	}
	if down {
		http.Error(w, "discovery is down", http.StatusServiceUnavailable)
	}
	return silent || down
}

func (s *Server) targets(w http.ResponseWriter, r *http.Request) {
	if s.serveUnavailable(w, r) {
		return
	}
	index, err := strconv.ParseInt(r.URL.Query().Get("index"), 10, 64)
	if err != nil {
		index = -1
	}
	wait, _ := strconv.Atoi(r.URL.Query().Get("wait"))
	end := time.After(time.Duration(min(wait, 60000)) * time.Millisecond)
	a, changed := s.since(index)
	for waiting := index >= 0; waiting && len(a.Endpoints) == 0; {
		select {
		case <-changed:
		case <-end:
			waiting = false
		case <-r.Context().Done():
			return
		}
		if s.serveUnavailable(w, r) {
			return
		}
		a, changed = s.since(index)
	}
	w.Header().Set("Content-Type", "application/json")
	if json.NewEncoder(w).Encode(a) == nil && s.OnSent != nil {
		at := time.Now()
		for _, e := range a.Endpoints {
			s.OnSent(e, at)
		}
	}
}
