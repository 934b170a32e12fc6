package httpserver_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"saddleport/choice"
	"saddleport/internal/cluster/routeconfig"
	"saddleport/internal/downstream"
	"saddleport/internal/downstream/httpserver"
	"saddleport/internal/exchange"
	"saddleport/internal/lab/standin"
	"saddleport/internal/settings"
	"saddleport/internal/upstream/httpclient"
)

// proxy is a proxy on loopback addresses without an agent: the server side, the exchange and the
// client side.
type proxy struct {
	t            testing.TB
	addr         string
	exchange     *exchange.Exchange
	pool         *httpclient.Pool
	handler      *httpserver.Handler
	downstream   *downstream.Server
	shardNumbers httpserver.ShardNumbers
	servers      map[string]*standin.Server // the server that was added last, by service
}

// newProxy starts a proxy. If change is not nil, it may modify the settings.
func newProxy(t testing.TB, change func(*choice.Settings)) *proxy {
	set := settings.Settings{MaxInFlight: 10_000, Router: choice.Settings{ClassesLater: true, Cells: httpserver.MaxShards, Width: 1,
		MaxPartsPerCall: 1, Resolution: 1000, Cancel: true, ParallelAttempts: true, MaxRetryAfter: 1_000_000, AttemptCap: 8,
		Keepalive: 30_000_000, Routers: 1, RetryBudget: true, RetryBudgetPerShard: true, RetryBudgetRatio: 0.2, RetryBudgetMin: 20,
		RetryBudgetWindow: 10_000_000}}
	if change != nil {
		change(&set.Router)
	}
	x, err := exchange.New(1, set)
	require.NoError(t, err)
	p := &proxy{t: t, exchange: x, handler: &httpserver.Handler{Exchange: x}, pool: httpclient.New(httpclient.Config{Exchange: x, MaxConns: 500}),
		servers: make(map[string]*standin.Server)}
	p.downstream = downstream.New(downstream.Config{Exchange: x, Protocol: p.handler, MaxClients: 500,
		Limits: downstream.Limits{FirstRequest: time.Minute, Request: time.Minute, Idle: time.Minute}})
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	p.addr = ln.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	stop := make(chan struct{})
	go x.Run(p.pool, stop)
	go p.pool.Run(ctx)
	go p.downstream.Serve(ln)
	t.Cleanup(func() { ln.Close(); close(stop); cancel() })
	return p
}

// configure puts the configuration in text in force.
func (p *proxy) configure(text string) {
	c, err := routeconfig.Parse([]byte(text))
	require.NoError(p.t, err)
	plan, err := httpserver.NewPlan(c, &p.shardNumbers)
	require.NoError(p.t, err)
	p.exchange.UpdateClasses(plan.Classes)
	p.handler.SetPlan(plan)
	p.downstream.SetLimits(httpserver.LimitsFrom(c.Limits))
}

// addServer adds a server to a service.
func (p *proxy) addServer(service string, s *standin.Server) {
	p.servers[service] = s
	n, err := p.shardNumbers.Of(service)
	require.NoError(p.t, err)
	p.pool.UpdateServers([]httpclient.Server{{ID: s.ID, Addr: s.Addr}})
	p.exchange.UpdateServers(choice.List{Servers: []choice.Server{{ID: s.ID, Zone: "z", Cell: n, State: choice.Ready, Scale: 3}}})
}

// testConfig has a fan-out route, a non-idempotent route and an idempotent one.
const testConfig = `{"revision":1,"services":[{"name":"a"},{"name":"b"},{"name":"c"},{"name":"d"},{"name":"one"}],"routes":[
 {"hostname":"h","path_prefix":"/all/","route_type":"idempotent","timeout_ms":2500,"target_latency_ms":250,"fanout_services":["a","b","c","d"],"max_attempts":2,"result_limit":3,"min_success_ratio":0.5},
 {"hostname":"h","path_prefix":"/book/","route_type":"non_idempotent","timeout_ms":4000,"target_latency_ms":800,"target_service":"one","max_attempts":1},
 {"hostname":"h","path_prefix":"/look/","route_type":"idempotent","timeout_ms":4000,"target_latency_ms":800,"target_service":"one","max_attempts":2}]}`

// send sends one request on a connection and reads the response.
func send(t testing.TB, c net.Conn, r *bufio.Reader, method, target, id, body string) (*http.Response, string) {
	text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nX-Saddleport-Attempt-Id: %s\r\nX-Saddleport-Deadline-Ms: 2000\r\n", method, target, id)
	if body != "" {
		text += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	_, err := io.WriteString(c, text+"\r\n"+body)
	require.NoError(t, err)
	p, err := http.ReadResponse(r, &http.Request{Method: method})
	require.NoError(t, err)
	b, err := io.ReadAll(p.Body)
	require.NoError(t, err)
	return p, string(b)
}

// BenchmarkGather measures one request that is sent to a number of shards. The client and the
// servers run in the same process, so the proxy's cost of a part is lower than the result.
func BenchmarkGather(b *testing.B) {
	for _, shards := range []int{4, 16, 64, 140} {
		b.Run(fmt.Sprint(shards), func(b *testing.B) { benchmarkGather(b, shards) })
	}
}

func benchmarkGather(b *testing.B, shards int) {
	p := newProxy(b, nil)
	names := make([]string, shards)
	services := make([]string, shards)
	for i := range names {
		names[i], services[i] = fmt.Sprintf(`"s%d"`, i), fmt.Sprintf(`{"name":"s%d"}`, i)
	}
	p.configure(`{"revision":1,"services":[` + strings.Join(services, ",") + `],"routes":[{"hostname":"h","path_prefix":"/all/","route_type":"idempotent",` +
		`"timeout_ms":2500,"target_latency_ms":250,"max_attempts":2,"result_limit":3,"min_success_ratio":0.5,"fanout_services":[` + strings.Join(names, ",") + `]}]}`)
	for shard := range shards {
		for i := range 2 {
			s, err := standin.NewServer(fmt.Sprintf("i-%d-%d", shard, i), func(int, standin.Seen) standin.Reply {
				return standin.Reply{Body: strings.Repeat("0123456789abcdef", 10)}
			})
			require.NoError(b, err)
			b.Cleanup(s.Close)
			p.addServer(fmt.Sprintf("s%d", shard), s)
		}
	}
	c, err := net.Dial("tcp4", p.addr)
	require.NoError(b, err)
	defer c.Close()
	r := bufio.NewReader(c)
	b.ReportAllocs()
	b.ResetTimer()
	for i := 0; i < b.N; i++ {
		ans, body := send(b, c, r, "GET", "/all/x", fmt.Sprint("id", i), "")
		if ans.StatusCode != 200 || len(body) != 48 {
			b.Fatal(ans.Status, body, ans.Header)
		}
	}
	b.ReportMetric(float64(b.Elapsed().Microseconds())/float64(b.N*shards), "us/part")
}
