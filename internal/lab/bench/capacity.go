package bench

// This file measures the capacity of one proxy on one core with real sockets, and that of a
// program that only moves the same frames.

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"runtime"
	"runtime/pprof"
	"strconv"
	"sync"
	"sync/atomic"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/tidwall/gjson"

	"saddleport/internal/app"
	"saddleport/internal/frame"
	"saddleport/internal/lab/child"
	"saddleport/internal/lab/disco"
)

// The load.
const (
	capParts  = 4                     // parts of a query
	capTime   = 2 * time.Millisecond  // in which a stand-in server answers a part
	capMargin = 10 * time.Millisecond // a rate is sustained while p99 exceeds capTime by no more
	capCells  = 8
)

// Step holds the measurements at one rate.
type Step struct {
	Rate          float64 // offered, queries a second
	Done          float64 // completed, queries a second
	P50, P99      time.Duration
	Failed        int64
	CPU           float64 // cores that the program used
	RSSMiB, Files int
}

// Result holds the measurements of one program under rising load.
type Result struct {
	Name    string
	Steps   []Step
	Highest Step `json:"Most"` // the highest rate that was sustained
}

// Capacities holds the results of all programs.
type Capacities struct {
	Results []Result `json:"Sides"`
}

// stubServer is a leaf server that answers each part after capTime and does no work, so that
// its only cost is that of the sockets.
type stubServer struct {
	ln    net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func newStubServer() (*stubServer, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &stubServer{ln: ln}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, conn)
			e.mu.Unlock()
			go e.serve(conn)
		}
	}()
	return e, nil
}

func (e *stubServer) close() {
	e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, conn := range e.conns {
		conn.Close()
	}
}

func (e *stubServer) serve(conn net.Conn) {
	defer conn.Close()
	type due struct {
		at   time.Time
		text []byte
	}
	queue := make(chan due, 65536)
	defer close(queue)
	go func() { // sends answers in the order of their parts, each capTime after its part arrived
		for d := range queue {
			time.Sleep(time.Until(d.at))
			out := d.text
			for more := true; more; { // adds the answers that are already due to the same write
				select {
				case n, ok := <-queue:
					if !ok {
						more = false
						break
					}
					if wait := time.Until(n.at); wait > 0 {
						if _, err := conn.Write(out); err != nil {
							return
						}
						out = nil
						time.Sleep(wait)
					}
					out = append(out, n.text...)
				default:
					more = false
				}
			}
			if _, err := conn.Write(out); err != nil {
				return
			}
		}
	}()
	r := bufio.NewReaderSize(conn, 64<<10)
	for {
		frameType, rest, err := frame.Read(r)
		if err != nil {
			return
		}
		switch frameType {
		case 'Q':
			parts, err := frame.ParseParts(rest)
			if err != nil {
				return
			}
			for _, p := range parts {
				queue <- due{time.Now().Add(capTime), frame.Append(nil, 'A', frame.AppendAnswer(nil, frame.Answer{ID: p.ID, Status: "ok", Score: 1, LoadReport: "-", Value: []byte("v")}))}
			}
		case 'P':
			queue <- due{time.Now(), frame.Append(nil, 'P', []byte("ok"))}
		}
	}
}

// Capacity measures the proxy program and the bare loop, each step for the given time. With a
// profile file it also profiles the proxy at 0.9 of its highest sustained rate.
func Capacity(ctx context.Context, program string, step time.Duration, profile string, progress func(float64, string)) (*Capacities, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	t := &Capacities{}
	programs := []struct {
		name string
		args func(config string) (string, []string)
	}{
		{"mixer", func(c string) (string, []string) { return program, []string{"serve", "--config", c} }},
		{"bare loop", func(c string) (string, []string) { return self, []string{"bare", c} }},
	}
	for i, s := range programs {
		result, err := measure(ctx, s.name, s.args, step, func(share float64, remark string) {
			progress((float64(i)+share)/float64(len(programs)), s.name+": "+remark)
		}, nil)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
		t.Results = append(t.Results, *result)
	}
	if profile != "" {
		rate := t.Results[0].Highest.Rate * 0.9
		abs, err := filepath.Abs(profile)
		if err != nil {
			return nil, err
		}
		if _, err := measure(ctx, "profiled", func(c string) (string, []string) { return self, []string{"profiled", c, abs} }, step,
			func(float64, string) { progress(0.99, "profile") }, []float64{rate}); err != nil {
			return nil, err
		}
	}
	return t, nil
}

func measure(ctx context.Context, name string, args func(string) (string, []string), step time.Duration, progress func(float64, string), rates []float64) (*Result, error) {
	dir, err := os.MkdirTemp("", "lab")
	if err != nil {
		return nil, err
	}
	defer os.RemoveAll(dir)
	var entries []disco.Entry
	for c := range capCells {
		for r := range 2 {
			e, err := newStubServer()
			if err != nil {
				return nil, err
			}
			defer e.close()
			entries = append(entries, disco.Entry{Name: fmt.Sprintf("s-%d-%d", c, r), Address: e.ln.Addr().String(), Zone: "amman", Type: "std-2c", Group: c, Status: "SERVING", Weight: 1})
		}
	}
	d, err := disco.Listen(entries)
	if err != nil {
		return nil, err
	}
	defer d.Close()
	port, err := child.FreePort()
	if err != nil {
		return nil, err
	}
	listen := fmt.Sprintf("127.0.0.1:%d", port)
	config, err := json.Marshal(map[string]any{"name": "lab", "listen": listen, "discovery": d.Addr, "seed": "0000000000000001",
		"limits": map[string]any{"cores": 1, "memory_mb": 192, "sockets": 1024}, "known": d.Snapshot(),
		"settings": map[string]any{"balancers": 1, "discovery": "ask", "resolution": 1000, "kinds": []string{"std-2c"}, "tenants": []any{},
			"request-classes": []any{map[string]any{"name": "trip-report", "aim": 500000, "deadline": 2000000, "effect": "free", "late-worth": 0.1, "memory-span": 5000000, "value": 1.0}},
			"family-info": map[string]any{"bundle-max": 1, "class-fetch": []any{0}, "class-floor": []any{1}, "need-by-class": []any{1}, "partial-earns": []any{0.9},
				"places": capCells, "slices": 4 * capCells, "width": 1, "per-call-work": 0},
			"limits": map[string]any{"cancel": true, "dial-timeout": 250000, "keepalive": 15000000, "max-retry-after": 2000000, "most-held": 20000,
				"parallel-tries": false, "probes": true, "retry-after": false, "send-cap": 4, "streams-per-conn": 1000},
			"report": map[string]any{"fields": []string{"inflight"}, "source": "piggyback"},
			"rules":  map[string]any{"answer-slack": 20000, "ask-within": 10000000, "cold": 18000000, "drain-grace": 2000000, "fall": 2000000, "fall-multiple": 2.0, "start-capacity": 0.16}}})
	if err != nil {
		return nil, err
	}
	file := filepath.Join(dir, "config.json")
	if err := os.WriteFile(file, config, 0o600); err != nil {
		return nil, err
	}
	program, argv := args(file)
	proc, err := child.Start(program, listen, filepath.Join(dir, "log"), nil, argv...)
	if err != nil {
		return nil, err
	}
	defer proc.Kill()
	result := &Result{Name: name}
	if rates == nil {
		for r := 200.0; r < 30000; r *= 1.25 {
			rates = append(rates, r)
		}
	}
	generateLoad(ctx, listen, 200, time.Second) // opens connections and grows their windows
	for i, rate := range rates {
		progress(float64(i)/float64(len(rates)), fmt.Sprintf("%.0f queries a second", rate))
		before := cpu(proc.Cmd.Process.Pid)
		started := time.Now()
		s, err := generateLoad(ctx, listen, rate, step)
		if err != nil {
			return nil, err
		}
		s.CPU = (cpu(proc.Cmd.Process.Pid) - before).Seconds() / time.Since(started).Seconds()
		rss, files := child.ResourceUsage(proc.Cmd.Process.Pid)
		s.RSSMiB, s.Files = int(rss>>20), files
		result.Steps = append(result.Steps, *s)
		if s.P99 > capTime+capMargin || float64(s.Failed) > 0.001*rate*step.Seconds() {
			break
		}
		result.Highest = *s
	}
	proc.Signal(syscall.SIGTERM)
	return result, proc.Wait(30 * time.Second)
}

// cpu returns the processor time that a process has used so far.
func cpu(pid int) time.Duration {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0
	}
	_, rest, ok := bytes.Cut(text, []byte(") "))
	f := bytes.Fields(rest)
	if !ok || len(f) < 13 {
		return 0
	}
	user, _ := strconv.ParseInt(string(f[11]), 10, 64)
	system, _ := strconv.ParseInt(string(f[12]), 10, 64)
	return time.Duration(user+system) * 10 * time.Millisecond // Linux counts in clock ticks of 10 ms
}

// generateLoad sends queries in an open loop at one rate for the given length. Latency counts
// from the time at which a query was due.
func generateLoad(ctx context.Context, addr string, rate float64, length time.Duration) (*Step, error) {
	const senders = 4
	s := &Step{Rate: rate}
	hist := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var failed, done atomic.Int64
	var idle sync.Pool
	idle.New = func() any {
		conn, err := net.Dial("tcp", addr)
		if err != nil {
			return err
		}
		return &client{conn, bufio.NewReader(conn)}
	}
	start := time.Now()
	var all sync.WaitGroup
	slots := make(chan *client, 512)
	for n := range senders {
		all.Add(1)
		go func() {
			defer all.Done()
			r := rand.New(rand.NewPCG(uint64(n), 5))
			due := start
			var out sync.WaitGroup
			for i := 0; ; i++ {
				due = due.Add(time.Duration(r.ExpFloat64() / (rate / senders) * float64(time.Second)))
				if due.Sub(start) >= length || ctx.Err() != nil {
					break
				}
				if wait := time.Until(due); wait > 0 {
					time.Sleep(wait)
				}
				body := request(fmt.Sprintf("%x.%d.%d", start.UnixNano(), n, i), r)
				at := due
				out.Add(1)
				go func() {
					defer out.Done()
					var c *client
					select {
					case c = <-slots:
					default:
						switch x := idle.New().(type) {
						case *client:
							c = x
						default:
							failed.Add(1)
							return
						}
					}
					if err := c.do(body); err != nil {
						failed.Add(1)
						c.conn.Close()
						return
					}
					took := time.Since(at)
					done.Add(1)
					mu.Lock()
					hist.RecordValue(max(took.Microseconds(), 1))
					mu.Unlock()
					select {
					case slots <- c:
					default:
						c.conn.Close()
					}
				}()
			}
			out.Wait()
		}()
	}
	all.Wait()
	for {
		select {
		case c := <-slots:
			c.conn.Close()
			continue
		default:
		}
		break
	}
	s.Done, s.Failed = float64(done.Load())/length.Seconds(), failed.Load()
	s.P50, s.P99 = time.Duration(hist.ValueAtQuantile(50))*time.Microsecond, time.Duration(hist.ValueAtQuantile(99))*time.Microsecond
	return s, ctx.Err()
}

type client struct {
	conn net.Conn
	r    *bufio.Reader
}

func request(id string, r *rand.Rand) []byte {
	body := []byte(`{"shards":[`)
	for i, s := range r.Perm(4 * capCells)[:capParts] {
		if i > 0 {
			body = append(body, ',')
		}
		body = fmt.Appendf(body, `{"shard":%d,"weight":%g}`, s, 1.0/capParts)
	}
	body = append(body, `],"q":"c41e77d0"}`...)
	return fmt.Appendf(nil, "POST /api HTTP/1.1\r\nHost: origin.svc\r\nX-Trace-Id: %s\r\nX-Qos: trip-report\r\nX-Expires-In: 2000m\r\nContent-Length: %d\r\n\r\n%s", id, len(body), body)
}

func (c *client) do(request []byte) error {
	c.conn.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.conn.Write(request); err != nil {
		return err
	}
	p, err := http.ReadResponse(c.r, nil)
	if err != nil {
		return err
	}
	_, err = io.Copy(io.Discard, p.Body)
	p.Body.Close()
	if err == nil && p.StatusCode != 200 {
		err = errors.New(p.Status)
	}
	return err
}

// Print writes the table and a summary line for each program.
func (c *Capacities) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "program\toffered/s\tcompleted/s\tparts/s\tp50\tp99\tfailed\tcores\tMiB\tfiles\t")
	for _, s := range c.Results {
		for _, x := range s.Steps {
			fmt.Fprintf(t, "%s\t%.0f\t%.0f\t%.0f\t%.2f ms\t%.2f ms\t%d\t%.2f\t%d\t%d\t\n", s.Name, x.Rate, x.Done, x.Done*capParts, float64(x.P50.Microseconds())/1000,
				float64(x.P99.Microseconds())/1000, x.Failed, x.CPU, x.RSSMiB, x.Files)
		}
	}
	if err := t.Flush(); err != nil {
		return err
	}
	for _, s := range c.Results {
		fmt.Fprintf(w, "%s: %.0f queries and %.0f parts a second with p99 at most %v above the stand-ins' %v, at %.2f cores: %.0f us of a core per query\n",
			s.Name, s.Highest.Done, s.Highest.Done*capParts, capMargin, capTime, s.Highest.CPU, 1e6*s.Highest.CPU/max(s.Highest.Done, 1))
	}
	return nil
}

// Profiled serves as the proxy program does and writes a CPU profile to file.
func Profiled(config, file string) error {
	f, err := os.Create(file)
	if err != nil {
		return err
	}
	defer f.Close()
	if err := pprof.StartCPUProfile(f); err != nil {
		return err
	}
	defer pprof.StopCPUProfile()
	return app.Serve(config, "")
}

// Bare serves queries without any decisions, with the same frames as the proxy: it sends the
// parts of a query to the first server of their cells and responds when all have answered.
func Bare(config string) error {
	runtime.GOMAXPROCS(1)
	text, err := os.ReadFile(config)
	if err != nil {
		return err
	}
	document := gjson.ParseBytes(text)
	b := &bareProxy{pending: make(map[string]chan string)}
	cells := int(document.Get("settings.family-info.places").Int())
	b.conns = make([]*bareConn, cells)
	for _, e := range document.Get("known.endpoints").Array() {
		if at := int(e.Get("group").Int()); b.conns[at] == nil {
			conn, err := net.Dial("tcp", e.Get("address").String())
			if err != nil {
				return err
			}
			b.conns[at] = &bareConn{conn: conn}
			go b.read(conn)
		}
	}
	ln, err := net.Listen("tcp", document.Get("listen").String())
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() { <-stop; ln.Close() }()
	for {
		conn, err := ln.Accept()
		if err != nil {
			return nil
		}
		go b.serve(conn)
	}
}

type bareConn struct {
	mu   sync.Mutex
	conn net.Conn
}

type bareProxy struct {
	conns   []*bareConn
	mu      sync.Mutex
	pending map[string]chan string
}

func (b *bareProxy) read(conn net.Conn) {
	r := bufio.NewReader(conn)
	for {
		frameType, rest, err := frame.Read(r)
		if err != nil {
			return
		}
		if frameType != 'A' {
			continue
		}
		a, err := frame.ParseAnswer(rest)
		if err != nil {
			return
		}
		b.mu.Lock()
		queue := b.pending[a.ID]
		delete(b.pending, a.ID)
		b.mu.Unlock()
		if queue != nil {
			queue <- string(a.Value)
		}
	}
}

func (b *bareProxy) serve(conn net.Conn) {
	defer conn.Close()
	r := bufio.NewReader(conn)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if q.URL.Path != "/api" {
			io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Trace-Id")
		parts := gjson.GetBytes(body, "shards").Array()
		text := gjson.GetBytes(body, "q").String()
		queue := make(chan string, len(parts))
		for _, p := range parts {
			shard := int(p.Get("shard").Int())
			name := id + "." + strconv.Itoa(shard)
			b.mu.Lock()
			b.pending[name] = queue
			b.mu.Unlock()
			c := b.conns[shard%len(b.conns)]
			out := frame.Append(nil, 'Q', frame.AppendPart(nil, frame.Part{ID: name, Shard: shard, Options: "d=2000", Text: text}))
			c.mu.Lock()
			_, err := c.conn.Write(out)
			c.mu.Unlock()
			if err != nil {
				return
			}
		}
		answer := []byte(`{"complete":true,"hits":[`)
		for i, p := range parts {
			if i > 0 {
				answer = append(answer, ',')
			}
			answer = fmt.Appendf(answer, `{"shard":%d,"doc":%q}`, p.Get("shard").Int(), <-queue)
		}
		answer = append(answer, "]}"...)
		if _, err := conn.Write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)); err != nil {
			return
		}
	}
}
