package bench

// What one mixer on one core does on real sockets, and what the sockets alone cost.

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

// The load: parts of a query, and what the stand-ins take for each.
const (
	capParts  = 4
	capTime   = 2 * time.Millisecond
	capBeyond = 10 * time.Millisecond // p99 may be so much above capTime
	capCells  = 8
)

// Step is one rate.
type Step struct {
	Rate          float64 // asked for, queries a second
	Done          float64 // answered whole, a second
	P50, P99      time.Duration
	Failed        int64
	CPU           float64 // cores that the program took
	RSSMiB, Files int
}

// Side is one program under rising load.
type Result struct {
	Name    string
	Steps   []Step
	Highest Step // the highest that held
}

// Capacities is the table.
type Capacities struct{ Results []Result }

// echo is a leaf server that does nothing but wait: all that it costs is sockets.
type echo struct {
	ln    net.Listener
	mu    sync.Mutex
	conns []net.Conn
}

func newEcho() (*echo, error) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	e := &echo{ln: ln}
	go func() {
		for {
			nc, err := ln.Accept()
			if err != nil {
				return
			}
			e.mu.Lock()
			e.conns = append(e.conns, nc)
			e.mu.Unlock()
			go e.serve(nc)
		}
	}()
	return e, nil
}

func (e *echo) close() {
	e.ln.Close()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, nc := range e.conns {
		nc.Close()
	}
}

func (e *echo) serve(nc net.Conn) {
	defer nc.Close()
	type due struct {
		at   time.Time
		text []byte
	}
	ch := make(chan due, 65536)
	defer close(ch)
	go func() { // answers go out in the order of their parts, each its time after it came
		for d := range ch {
			time.Sleep(time.Until(d.at))
			out := d.text
			for more := true; more; { // what is due by now goes along
				select {
				case n, ok := <-ch:
					if !ok {
						more = false
						break
					}
					if wait := time.Until(n.at); wait > 0 {
						if _, err := nc.Write(out); err != nil {
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
			if _, err := nc.Write(out); err != nil {
				return
			}
		}
	}()
	r := bufio.NewReaderSize(nc, 64<<10)
	for {
		letter, rest, err := frame.Read(r)
		if err != nil {
			return
		}
		switch letter {
		case 'Q':
			parts, err := frame.ParseParts(rest)
			if err != nil {
				return
			}
			for _, p := range parts {
				ch <- due{time.Now().Add(capTime), frame.Append(nil, 'A', frame.AppendAnswer(nil, frame.Answer{ID: p.ID, Status: "ok", Score: 1, LoadReport: "-", Value: []byte("v")}))}
			}
		case 'P':
			ch <- due{time.Now(), frame.Append(nil, 'P', []byte("ok"))}
		}
	}
}

// Capacity measures the mixer and the bare loop.
func Capacity(ctx context.Context, program string, step time.Duration, profile string, progress func(float64, string)) (*Capacities, error) {
	self, err := os.Executable()
	if err != nil {
		return nil, err
	}
	t := &Capacities{}
	sides := []struct {
		name string
		args func(config string) (string, []string)
	}{
		{"mixer", func(c string) (string, []string) { return program, []string{"serve", "--config", c} }},
		{"bare loop", func(c string) (string, []string) { return self, []string{"bare", c} }},
	}
	for i, s := range sides {
		side, err := measure(ctx, s.name, s.args, step, func(share float64, remark string) {
			progress((float64(i)+share)/float64(len(sides)), s.name+": "+remark)
		}, nil)
		if err != nil {
			return nil, fmt.Errorf("%s: %w", s.name, err)
		}
		t.Results = append(t.Results, *side)
	}
	if profile != "" {
		most := t.Results[0].Highest.Rate * 0.9
		abs, err := filepath.Abs(profile)
		if err != nil {
			return nil, err
		}
		if _, err := measure(ctx, "profiled", func(c string) (string, []string) { return self, []string{"profiled", c, abs} }, step,
			func(float64, string) { progress(0.99, "profile") }, []float64{most}); err != nil {
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
			e, err := newEcho()
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
	side := &Result{Name: name}
	if rates == nil {
		for r := 200.0; r < 30000; r *= 1.25 {
			rates = append(rates, r)
		}
	}
	fire(ctx, listen, 200, time.Second) // connections and windows open
	for i, rate := range rates {
		progress(float64(i)/float64(len(rates)), fmt.Sprintf("%.0f queries a second", rate))
		before := cpu(proc.Cmd.Process.Pid)
		begun := time.Now()
		s, err := fire(ctx, listen, rate, step)
		if err != nil {
			return nil, err
		}
		s.CPU = (cpu(proc.Cmd.Process.Pid) - before).Seconds() / time.Since(begun).Seconds()
		rss, files := child.ResourceUsage(proc.Cmd.Process.Pid)
		s.RSSMiB, s.Files = int(rss>>20), files
		side.Steps = append(side.Steps, *s)
		if s.P99 > capTime+capBeyond || float64(s.Failed) > 0.001*rate*step.Seconds() {
			break
		}
		side.Highest = *s
	}
	proc.Signal(syscall.SIGTERM)
	return side, proc.Wait(30 * time.Second)
}

// cpu is what a process has taken so far.
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
	return time.Duration(user+system) * 10 * time.Millisecond // the clock ticks of Linux
}

// fire is open-loop load of one rate; times count from when a query was due.
func fire(ctx context.Context, addr string, rate float64, length time.Duration) (*Step, error) {
	const senders = 4
	s := &Step{Rate: rate}
	hist := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)
	var mu sync.Mutex
	var failed, done atomic.Int64
	var idle sync.Pool
	idle.New = func() any {
		nc, err := net.Dial("tcp", addr)
		if err != nil {
			return err
		}
		return &caller{nc, bufio.NewReader(nc)}
	}
	begin := time.Now()
	var all sync.WaitGroup
	slots := make(chan *caller, 512)
	for n := range senders {
		all.Add(1)
		go func() {
			defer all.Done()
			r := rand.New(rand.NewPCG(uint64(n), 5))
			due := begin
			var out sync.WaitGroup
			for i := 0; ; i++ {
				due = due.Add(time.Duration(r.ExpFloat64() / (rate / senders) * float64(time.Second)))
				if due.Sub(begin) >= length || ctx.Err() != nil {
					break
				}
				if wait := time.Until(due); wait > 0 {
					time.Sleep(wait)
				}
				body := request(fmt.Sprintf("%x.%d.%d", begin.UnixNano(), n, i), r)
				at := due
				out.Add(1)
				go func() {
					defer out.Done()
					var c *caller
					select {
					case c = <-slots:
					default:
						switch x := idle.New().(type) {
						case *caller:
							c = x
						default:
							failed.Add(1)
							return
						}
					}
					if err := c.ask(body); err != nil {
						failed.Add(1)
						c.nc.Close()
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
						c.nc.Close()
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
			c.nc.Close()
			continue
		default:
		}
		break
	}
	s.Done, s.Failed = float64(done.Load())/length.Seconds(), failed.Load()
	s.P50, s.P99 = time.Duration(hist.ValueAtQuantile(50))*time.Microsecond, time.Duration(hist.ValueAtQuantile(99))*time.Microsecond
	return s, ctx.Err()
}

type caller struct {
	nc net.Conn
	r  *bufio.Reader
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

func (c *caller) ask(request []byte) error {
	c.nc.SetDeadline(time.Now().Add(5 * time.Second))
	if _, err := c.nc.Write(request); err != nil {
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

// Print writes the table.
func (c *Capacities) Print(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	fmt.Fprintln(t, "program\tasked/s\twhole/s\tparts/s\tp50\tp99\tfailed\tcores\tMiB\tfiles\t")
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
		fmt.Fprintf(w, "%s: %.0f queries and %.0f parts a second with p99 under %v beyond the stand-ins' %v, at %.2f cores: %.0f us of a core a query\n",
			s.Name, s.Highest.Done, s.Highest.Done*capParts, capBeyond, capTime, s.Highest.CPU, 1e6*s.Highest.CPU/max(s.Highest.Done, 1))
	}
	return nil
}

// Profiled serves as the mixer does, under a profiler.
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

// Bare moves the same frames as the mixer and decides nothing: a query's parts go to
// the first server of their cells, and the answer goes out when all are in.
func Bare(config string) error {
	runtime.GOMAXPROCS(1)
	text, err := os.ReadFile(config)
	if err != nil {
		return err
	}
	doc := gjson.ParseBytes(text)
	b := &bare{waits: make(map[string]chan string)}
	cells := int(doc.Get("settings.family-info.places").Int())
	b.conns = make([]*bareConn, cells)
	for _, e := range doc.Get("known.endpoints").Array() {
		if at := int(e.Get("group").Int()); b.conns[at] == nil {
			nc, err := net.Dial("tcp", e.Get("address").String())
			if err != nil {
				return err
			}
			b.conns[at] = &bareConn{nc: nc}
			go b.read(nc)
		}
	}
	ln, err := net.Listen("tcp", doc.Get("listen").String())
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() { <-stop; ln.Close() }()
	for {
		nc, err := ln.Accept()
		if err != nil {
			return nil
		}
		go b.serve(nc)
	}
}

type bareConn struct {
	mu sync.Mutex
	nc net.Conn
}

type bare struct {
	conns []*bareConn
	mu    sync.Mutex
	waits map[string]chan string
}

func (b *bare) read(nc net.Conn) {
	r := bufio.NewReader(nc)
	for {
		letter, rest, err := frame.Read(r)
		if err != nil {
			return
		}
		if letter != 'A' {
			continue
		}
		a, err := frame.ParseAnswer(rest)
		if err != nil {
			return
		}
		b.mu.Lock()
		ch := b.waits[a.ID]
		delete(b.waits, a.ID)
		b.mu.Unlock()
		if ch != nil {
			ch <- string(a.Value)
		}
	}
}

func (b *bare) serve(nc net.Conn) {
	defer nc.Close()
	r := bufio.NewReader(nc)
	for {
		q, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		if q.URL.Path != "/api" {
			io.WriteString(nc, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nConnection: close\r\n\r\n")
			return
		}
		body, err := io.ReadAll(q.Body)
		if err != nil {
			return
		}
		id := q.Header.Get("X-Trace-Id")
		parts := gjson.GetBytes(body, "shards").Array()
		text := gjson.GetBytes(body, "q").String()
		ch := make(chan string, len(parts))
		for _, p := range parts {
			shard := int(p.Get("shard").Int())
			name := id + "." + strconv.Itoa(shard)
			b.mu.Lock()
			b.waits[name] = ch
			b.mu.Unlock()
			c := b.conns[shard%len(b.conns)]
			out := frame.Append(nil, 'Q', frame.AppendPart(nil, frame.Part{ID: name, Shard: shard, Options: "d=2000", Text: text}))
			c.mu.Lock()
			_, err := c.nc.Write(out)
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
			answer = fmt.Appendf(answer, `{"shard":%d,"doc":%q}`, p.Get("shard").Int(), <-ch)
		}
		answer = append(answer, "]}"...)
		if _, err := nc.Write(fmt.Appendf(nil, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(answer), answer)); err != nil {
			return
		}
	}
}
