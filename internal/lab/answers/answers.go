// Package answers plays a proxy against servers that answer early, twice, late, without a
// length or an id, break off, reset and fall silent, over connections that are used again
// and again, and judges by what clients and servers saw: no answer reaches another caller
// than its own, nothing that may not be repeated runs twice, and what was told not to have
// run has not. Real sockets on loopback; the servers are the project's own stand-ins.
package answers

import (
	"context"
	"fmt"
	"net"
	"time"

	"saddleport/choice"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/downstream"
	"saddleport/internal/downstream/httpserver"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/standin"
	"saddleport/internal/settings"
	"saddleport/internal/upstream/httpclient"
)

// Plan says what is played.
type Plan struct {
	Requests   int
	Clients    int
	Servers    int     // of each service
	FaultShare float64 // the share of requests that a server does not answer in order
	Seed       uint64
	Mutations  httpclient.Mutations
}

// Usual is the plan of a run by hand.
var DefaultPlan = Plan{Requests: 100_000, Clients: 64, Servers: 6, FaultShare: 0.08, Seed: 1}

// Report is what was seen.
type Report struct {
	Requests, Served, Refused, Failed, Closed int
	Faults                                    map[string]int // what servers did, by name
	WrongAnswers                              []string       // answers that were not the caller's
	RanTwice                                  []string       // ran twice though they may run once
	FalseRefusals                             []string       // told not to have run, and ran
	Conns                                     int            // to servers
	Duration                                  time.Duration
}

// Holds tells whether nothing was broken.
func (r Report) OK() bool { return len(r.WrongAnswers)+len(r.RanTwice)+len(r.FalseRefusals) == 0 }

func (r Report) String() string {
	return fmt.Sprintf("%d requests in %s: %d served, %d refused, %d failed, %d closed; servers answered %v in disorder; %d connections to servers\n"+
		"%d answers to a wrong caller, %d run twice, %d refused and run\n", r.Requests, r.Duration.Round(time.Millisecond), r.Served, r.Refused, r.Failed, r.Closed,
		r.Faults, r.Conns, len(r.WrongAnswers), len(r.RanTwice), len(r.FalseRefusals))
}

const (
	mostConns   = 400
	resolution  = 1000 // microseconds
	sharded     = 3
	routeConfig = `{"revision":1,"services":[{"name":"s0"},{"name":"s1"},{"name":"s2"},{"name":"one"}],"routes":[
 {"hostname":"h","path_prefix":"/all/","route_type":"idempotent","timeout_ms":600,"target_latency_ms":200,"fanout_services":["s0","s1","s2"],"max_attempts":2,"result_limit":3,"min_success_ratio":0.3},
 {"hostname":"h","path_prefix":"/book/","route_type":"non_idempotent","timeout_ms":600,"target_latency_ms":200,"target_service":"one","max_attempts":2},
 {"hostname":"h","path_prefix":"/look/","route_type":"idempotent","timeout_ms":600,"target_latency_ms":200,"target_service":"one","max_attempts":2}]}`
)

// Play plays a plan.
func Run(p Plan) (Report, error) {
	l := newLedger(p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addr, err := startProxy(ctx, p, l)
	if err != nil {
		return Report{}, err
	}
	defer l.closeServers()
	began := time.Now()
	l.playClients(addr)
	r := l.report()
	r.Duration = time.Since(began)
	return r, nil
}

// startProxy starts the data plane of a proxy, and the servers that it knows.
func startProxy(ctx context.Context, p Plan, l *ledger) (addr string, err error) {
	set := settings.Settings{MaxInFlight: 10_000, Router: choice.Settings{ClassesLater: true, Cells: httpserver.MaxShards, Width: 1,
		MaxPartsPerCall: 1, Resolution: resolution, Cancel: true, ParallelAttempts: true, RetryAdvice: true, MaxRetryAfter: 1_000_000,
		AttemptCap: 8, Keepalive: 30_000_000, Routers: 1, RetryBudget: true, RetryBudgetPerShard: true, RetryBudgetRatio: 1, RetryBudgetMin: 1000,
		RetryBudgetWindow: 10_000_000}}
	x, err := exchange.New(p.Seed, set)
	if err != nil {
		return "", err
	}
	g := &httpserver.Handler{Exchange: x}
	back := httpclient.New(httpclient.Config{Exchange: x, MaxConns: mostConns, Mutations: p.Mutations})
	f := downstream.New(downstream.Config{Exchange: x, Protocol: g, MaxClients: 4 * p.Clients,
		Limits: downstream.Limits{FirstRequest: time.Minute, Request: time.Minute, Idle: time.Minute}})
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	stop := make(chan struct{})
	context.AfterFunc(ctx, func() { ln.Close(); close(stop) })
	go x.Run(back, stop)
	go back.Run(ctx)
	go f.Serve(ln)
	var numbers httpserver.ShardNumbers
	c, err := routeconfig.Parse([]byte(routeConfig))
	if err != nil {
		return "", err
	}
	plan, err := httpserver.NewPlan(c, &numbers)
	if err != nil {
		return "", err
	}
	x.UpdateClasses(plan.Classes)
	g.SetPlan(plan)
	f.SetLimits(httpserver.LimitsFrom(c.Limits))
	for service := range c.Services {
		number, err := numbers.Of(service)
		if err != nil {
			return "", err
		}
		for i := range p.Servers {
			s, err := standin.NewServer(fmt.Sprintf("i-%s-%d", service, i), nil)
			if err != nil {
				return "", err
			}
			l.serve(s)
			back.UpdateServers([]httpclient.Server{{ID: s.ID, Addr: s.Addr}})
			x.UpdateServers(choice.List{Servers: []choice.Server{{ID: s.ID, Zone: "z", Cell: number, State: choice.Ready, Scale: 64}}})
		}
	}
	return ln.Addr().String(), nil
}
