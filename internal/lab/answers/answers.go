// Package answers tests a proxy against faulty servers: they answer early, twice, late,
// without a length or an id, truncate bodies, reset connections and stop responding, over
// connections that are reused. From what clients and servers observed it checks that no
// response reaches another client than the one that sent the request, that no
// non-idempotent request runs twice, and that no request runs that was reported as not
// executed. It uses real sockets on loopback; the servers are those of package standin.
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

// Plan configures a run.
type Plan struct {
	Requests   int
	Clients    int
	Servers    int     // per service
	FaultShare float64 // share of requests to which a server responds with a fault
	Seed       uint64
	Mutations  httpclient.Mutations
}

// DefaultPlan is the plan of a run from the command line without flags.
var DefaultPlan = Plan{Requests: 100_000, Clients: 64, Servers: 6, FaultShare: 0.08, Seed: 1}

// Report counts the outcomes and lists the violations that a run observed.
type Report struct {
	Requests, Served, Refused, Failed, Closed int
	Faults                                    map[string]int // faults of servers, by name
	WrongAnswers                              []string       // responses that belonged to another request
	RanTwice                                  []string       // non-idempotent requests that ran more than once
	FalseRefusals                             []string       // requests that were reported as not executed but ran
	Conns                                     int            // connections to servers
	Duration                                  time.Duration
}

// OK reports whether the run found no violation.
func (r Report) OK() bool { return len(r.WrongAnswers)+len(r.RanTwice)+len(r.FalseRefusals) == 0 }

func (r Report) String() string {
	return fmt.Sprintf("%d requests in %s: %d served, %d refused, %d failed, %d closed; faults of servers: %v; %d connections to servers\n"+
		"%d responses to the wrong client, %d requests run twice, %d rejected as not executed but run\n", r.Requests, r.Duration.Round(time.Millisecond), r.Served, r.Refused, r.Failed, r.Closed,
		r.Faults, r.Conns, len(r.WrongAnswers), len(r.RanTwice), len(r.FalseRefusals))
}

const (
	maxConns    = 400
	resolution  = 1000 // microseconds
	sharded     = 3
	routeConfig = `{"revision":1,"services":[{"name":"s0"},{"name":"s1"},{"name":"s2"},{"name":"one"}],"routes":[
 {"hostname":"h","path_prefix":"/all/","route_type":"idempotent","timeout_ms":600,"target_latency_ms":200,"fanout_services":["s0","s1","s2"],"max_attempts":2,"result_limit":3,"min_success_ratio":0.3},
 {"hostname":"h","path_prefix":"/book/","route_type":"non_idempotent","timeout_ms":600,"target_latency_ms":200,"target_service":"one","max_attempts":2},
 {"hostname":"h","path_prefix":"/look/","route_type":"idempotent","timeout_ms":600,"target_latency_ms":200,"target_service":"one","max_attempts":2}]}`
)

// Run runs a plan and returns its report.
func Run(p Plan) (Report, error) {
	rec := newRecorder(p)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	addr, err := startProxy(ctx, p, rec)
	if err != nil {
		return Report{}, err
	}
	defer rec.closeServers()
	started := time.Now()
	rec.runClients(addr)
	r := rec.report()
	r.Duration = time.Since(started)
	return r, nil
}

// startProxy starts the data plane of a proxy and the servers in its list. It returns the
// address at which the proxy listens.
func startProxy(ctx context.Context, p Plan, rec *recorder) (addr string, err error) {
	config := settings.Settings{MaxInFlight: 10_000, Router: choice.Settings{ClassesLater: true, Cells: httpserver.MaxShards, Width: 1,
		MaxPartsPerCall: 1, Resolution: resolution, Cancel: true, ParallelAttempts: true, RetryAdvice: true, MaxRetryAfter: 1_000_000,
		AttemptCap: 8, Keepalive: 30_000_000, Routers: 1, RetryBudget: true, RetryBudgetPerShard: true, RetryBudgetRatio: 1, RetryBudgetMin: 1000,
		RetryBudgetWindow: 10_000_000}}
	exch, err := exchange.New(p.Seed, config)
	if err != nil {
		return "", err
	}
	handler := &httpserver.Handler{Exchange: exch}
	client := httpclient.New(httpclient.Config{Exchange: exch, MaxConns: maxConns, Mutations: p.Mutations})
	server := downstream.New(downstream.Config{Exchange: exch, Protocol: handler, MaxClients: 4 * p.Clients,
		Limits: downstream.Limits{FirstRequest: time.Minute, Request: time.Minute, Idle: time.Minute}})
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	stop := make(chan struct{})
	context.AfterFunc(ctx, func() { listener.Close(); close(stop) })
	go exch.Run(client, stop)
	go client.Run(ctx)
	go server.Serve(listener)
	var numbers httpserver.ShardNumbers
	routes, err := routeconfig.Parse([]byte(routeConfig))
	if err != nil {
		return "", err
	}
	plan, err := httpserver.NewPlan(routes, &numbers)
	if err != nil {
		return "", err
	}
	exch.UpdateClasses(plan.Classes)
	handler.SetPlan(plan)
	server.SetLimits(httpserver.LimitsFrom(routes.Limits))
	for service := range routes.Services {
		number, err := numbers.Of(service)
		if err != nil {
			return "", err
		}
		for i := range p.Servers {
			stub, err := standin.NewServer(fmt.Sprintf("i-%s-%d", service, i), nil)
			if err != nil {
				return "", err
			}
			rec.serve(stub)
			client.UpdateServers([]httpclient.Server{{ID: stub.ID, Addr: stub.Addr}})
			exch.UpdateServers(choice.List{Servers: []choice.Server{{ID: stub.ID, Zone: "z", Cell: number, State: choice.Ready, Scale: 64}}})
		}
	}
	return listener.Addr().String(), nil
}
