// Command saddleport is the real mixer. This file owns the command line, the
// configuration, the process's limits and its signals; it puts the two sides and
// the exchange together. It must never decide anything about a query, and never
// end while an answer is owed.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"log"
	"math"
	"net"
	"os"
	"os/signal"
	"reflect"
	"runtime"
	"runtime/debug"
	"slices"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/tidwall/gjson"
	"github.com/urfave/cli/v3"

	"saddleport/choice"
	"saddleport/internal/back"
	"saddleport/internal/exchange"
	"saddleport/internal/front"
	"saddleport/internal/httpwire"
	"saddleport/internal/settings"
)

const (
	spareFiles   = 32                     // descriptors kept for all but connections of clients and leaf servers
	keepShare    = 8                      // of all: beyond so many client connections those at rest are ended
	leafShare    = 4                      // of the rest, one in so many is for leaf servers
	memoryShare  = 0.6                    // of the limit: from there on the collector works harder
	settleTime   = time.Second            // after SIGTERM: new requests are expected at least so long
	stayTime     = 600 * time.Millisecond // after SIGTERM: open connections go on; the platform grants the longest deadline and 0.7 s
	quietTime    = 400 * time.Millisecond // without news, before the listener is closed
	lastChance   = 100 * time.Millisecond // for a request that crosses the end of its connection
	pollTime     = 10 * time.Millisecond
	askTime      = 2 * time.Second // for a running mixer's answer
	listenTime   = 5 * time.Second
	countersTime = 10 * time.Second
)

// config is what the platform tells a mixer.
type config struct {
	path                    string
	env                     func(string) string
	name, listen, discovery string
	seed                    uint64
	cores                   float64
	memoryMB, sockets       int
	settings                settings.Settings
	known                   choice.List
	addrs                   map[string]string
	pace                    front.Pace
	stay                    time.Duration
}

func main() {
	log.SetFlags(log.LstdFlags | log.Lmicroseconds | log.LUTC)
	path := &cli.StringFlag{Name: "config", Usage: "the configuration `FILE`", Sources: cli.EnvVars("BALANCER_CONFIG")}
	app := &cli.Command{
		Name:  "saddleport",
		Usage: "mixes answers of leaf servers into answers to queries",
		Commands: []*cli.Command{
			{Name: "serve", Usage: "serve until SIGTERM; SIGHUP rereads the configuration", Flags: []cli.Flag{path},
				Action: func(_ context.Context, c *cli.Command) error {
					// Before all else: until it is asked for, SIGHUP ends the program.
					signals := make(chan os.Signal, 16)
					signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
					cfg, err := load(c.String("config"), os.Getenv)
					if err != nil {
						return err
					}
					ln, err := listen(cfg.listen)
					if err != nil {
						return err
					}
					return serve(cfg, ln, signals)
				}},
			{Name: "check-config", Usage: "read the configuration and say what is wrong with it", Flags: []cli.Flag{path},
				Action: func(_ context.Context, c *cli.Command) error {
					cfg, err := load(c.String("config"), os.Getenv)
					if err == nil {
						err = cfg.check()
					}
					if err != nil {
						return err
					}
					_, err = fmt.Printf("name=%s listen=%s discovery=%s classes=%d known=%d\n", cfg.name, cfg.listen,
						cfg.discovery, len(cfg.settings.Router.Classes), len(cfg.known.Servers))
					return err
				}},
			{Name: "counters", Usage: "print what the mixer that runs on this configuration has counted", Flags: []cli.Flag{path},
				Action: func(_ context.Context, c *cli.Command) error {
					cfg, err := load(c.String("config"), os.Getenv)
					if err != nil {
						return err
					}
					return counters(os.Stdout, cfg.listen)
				}},
			{Name: "version", Usage: "say which build this is",
				Action: func(context.Context, *cli.Command) error { return version(os.Stdout) }},
		},
	}
	if err := app.Run(context.Background(), os.Args); err != nil {
		log.Printf("event=fatal err=%q", err)
		os.Exit(1)
	}
}

// counters asks a running mixer.
func counters(w io.Writer, addr string) error {
	nc, err := net.DialTimeout("tcp", addr, askTime)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(askTime))
	if _, err := nc.Write(httpwire.AppendGet(nil, addr, "/-/counters")); err != nil {
		return err
	}
	r := httpwire.NewReader(nc)
	if err := r.Await(); err != nil {
		return err
	}
	p, err := r.Response()
	if err == nil && p.Status != 200 {
		err = fmt.Errorf("status %d", p.Status)
	}
	if err == nil {
		_, err = w.Write(p.Body)
	}
	return err
}

func version(w io.Writer) error {
	revision, info, ok := "unknown", (*debug.BuildInfo)(nil), false
	if info, ok = debug.ReadBuildInfo(); !ok {
		return errors.New("no build information")
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	_, err := fmt.Fprintf(w, "saddleport revision=%s go=%s\n", revision, info.GoVersion)
	return err
}

// load reads the configuration; the platform's variables stand in for what it
// does not say.
func load(path string, env func(string) string) (*config, error) {
	if path == "" {
		return nil, errors.New("no configuration: give --config or BALANCER_CONFIG")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := decode(text, env)
	if err == nil {
		c.path, c.env = path, env
	}
	return c, err
}

func decode(text []byte, env func(string) string) (*config, error) {
	doc := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !doc.IsObject() {
		return nil, errors.New("configuration: not a JSON object")
	}
	told := func(field, variable string) string {
		if v := doc.Get(field); v.Exists() {
			return v.String()
		}
		return env(variable)
	}
	c := &config{pace: front.Usual, stay: stayTime, name: told("name", "BALANCER_NAME"), listen: told("listen", "BALANCER_LISTEN"),
		discovery: told("discovery", "BALANCER_DISCOVERY")}
	for field, addr := range map[string]string{"listen": c.listen, "discovery": c.discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, &settings.FieldError{Path: field, Problem: fmt.Sprintf("%q is not an address", addr)}
		}
	}
	var err error
	if c.seed, err = strconv.ParseUint(doc.Get("seed").String(), 16, 64); err != nil {
		return nil, &settings.FieldError{Path: "seed", Problem: "not 16 hex digits"}
	}
	number := func(path string, least, most float64) float64 {
		v := doc.Get(path)
		if err == nil && (v.Type != gjson.Number || v.Num < least || v.Num > most) {
			err = &settings.FieldError{Path: path, Problem: fmt.Sprintf("%q is not a number within %v to %v", v.Raw, least, most)}
		}
		return v.Num
	}
	c.cores = number("limits.cores", 0.01, 1024)
	c.memoryMB = int(number("limits.memory_mb", 16, 1<<20))
	c.sockets = int(number("limits.sockets", spareFiles+2*leafShare, 1<<20))
	if err != nil {
		return nil, err
	}
	if !doc.Get("settings").IsObject() {
		return nil, &settings.FieldError{Path: "settings", Problem: "not an object"}
	}
	if c.settings, err = settings.Decode(settings.Flatten(doc.Get("settings"))); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if known := doc.Get("known"); known.Type != gjson.Null { // neither absent nor null
		if c.known, c.addrs, err = back.ParseList([]byte(known.Raw), c.settings.Router.Cells); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	c.known.Form = choice.Cached
	return c, nil
}

// check tells whether a mixer could run on the configuration.
func (c *config) check() error {
	_, err := exchange.New(c.seed, c.settings)
	return err
}

// reload rereads the file and takes over what may change in service: the address
// of discovery. A file that is wrong anywhere changes nothing: half of it might
// belong to another version of the fleet.
func (c *config) reload(b *back.Back) {
	now, err := load(c.path, c.env)
	if err == nil {
		err = now.check()
	}
	if err != nil {
		log.Printf("event=reload-failed discovery=%s err=%q", c.discovery, err)
		return
	}
	var kept []string
	for field, same := range map[string]bool{"name": now.name == c.name, "listen": now.listen == c.listen,
		"limits":   now.cores == c.cores && now.memoryMB == c.memoryMB && now.sockets == c.sockets,
		"settings": reflect.DeepEqual(now.settings, c.settings)} {
		if !same {
			kept = append(kept, field)
		}
	}
	slices.Sort(kept)
	log.Printf("event=reload discovery=%s was=%s kept=%q", now.discovery, c.discovery, strings.Join(kept, ","))
	if now.discovery != c.discovery {
		c.discovery = now.discovery
		b.Switch(c.discovery)
	}
}

// listen takes the address. After a restart the process before may hold it for a
// moment yet, which must not end the start.
func listen(addr string) (net.Listener, error) {
	for until := time.Now().Add(listenTime); ; time.Sleep(listenTime / 50) {
		ln, err := net.Listen("tcp", addr)
		if !errors.Is(err, syscall.EADDRINUSE) || time.Now().After(until) {
			return ln, err
		}
	}
}

// serve runs a mixer on a listener until a signal comes and all it has taken is
// answered.
func serve(cfg *config, ln net.Listener, signals <-chan os.Signal) error {
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cfg.cores))))
	debug.SetMemoryLimit(int64(float64(cfg.memoryMB) * memoryShare * (1 << 20)))
	x, err := exchange.New(cfg.seed, cfg.settings)
	if err != nil {
		return err
	}
	leaves := (cfg.sockets - spareFiles) / leafShare
	b := back.New(back.Config{Exchange: x, Settings: cfg.settings, Discovery: cfg.discovery, MaxConns: leaves})
	classes := make(map[string]bool)
	for _, c := range cfg.settings.Router.Classes {
		classes[c.Name] = true
	}
	f := front.New(front.Config{Exchange: x, MaxClients: cfg.sockets - spareFiles - leaves, Keep: cfg.sockets / keepShare,
		Shards: cfg.settings.Router.Shards, Classes: classes, Pace: cfg.pace})
	stop := make(chan struct{})
	b.Apply(cfg.known, cfg.addrs)
	go x.Run(b, stop)
	go b.Run(stop)
	served := make(chan error, 1)
	go func() { served <- f.Serve(ln) }()
	log.Printf("event=start name=%s listen=%s discovery=%s known=%d clients=%d leaves=%d", cfg.name, ln.Addr(),
		cfg.discovery, len(cfg.known.Servers), cfg.sockets-spareFiles-leaves, leaves)
	tick := time.NewTicker(countersTime)
	defer tick.Stop()
	for stopping := false; !stopping; {
		select {
		case <-tick.C:
			log.Printf("event=counters %s", &x.Counters)
		case err := <-served:
			return fmt.Errorf("the listener ended: %w", err)
		case s := <-signals:
			if s == syscall.SIGHUP {
				cfg.reload(b)
				continue
			}
			log.Printf("event=stopping signal=%q open=%d", s, x.Open())
			stopping = true
		}
	}
	// A configuration that comes while the mixer stops counts too: queries are
	// still served, and drains are still to be learned.
	sleep := func(d time.Duration) {
		for end := time.After(d); ; {
			select {
			case s := <-signals:
				if s == syscall.SIGHUP {
					cfg.reload(b)
				}
			case <-end:
				return
			}
		}
	}
	f.Stop()
	since := time.Now()
	// Clients use the connections they have for as long as these stay open, and
	// may have no other mixer yet: closed at once, they had nowhere to ask. What is
	// taken in this time still has its whole deadline before SIGKILL.
	for time.Since(since) < cfg.stay && (f.Clients() > 0 || time.Since(since) < settleTime) {
		sleep(pollTime)
	}
	f.Close()
	// New connections and queries are served until none has come for a while:
	// what the kernel has accepted is ours, whether or not we have. Probes of the
	// ready path do not count, or they would keep the mixer up for ever.
	for time.Since(since) < settleTime || x.Open() > 0 || !f.Quiet(quietTime) {
		f.CloseIdle(lastChance)
		sleep(pollTime)
	}
	ln.Close()
	for f.CloseIdle(lastChance); f.Clients() > 0; f.CloseIdle(lastChance) {
		sleep(pollTime)
	}
	close(stop)
	log.Printf("event=stopped %s", &x.Counters)
	return nil
}
