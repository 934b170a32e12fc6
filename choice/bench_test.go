package choice

import (
	"fmt"
	"testing"
)

// newFleetRouter returns a router with the given number of servers, in cells of three, with initial windows.
func newFleetRouter(tb testing.TB, servers int) *Router {
	settings := testSettings()
	settings.Cells, settings.Width, settings.Shards, settings.Routers = servers/3, 1, servers/3, 30
	r, err := New(1, settings)
	if err != nil {
		tb.Fatal(err)
	}
	r.Step(sec, []Event{List{Form: Cached, Servers: testServers(settings.Cells, 3)}})
	return r
}

// driver drives a router with queries built in advance, so that the benchmark measures the decisions and not
// the building of names. Only outcomes are built as they come.
type driver struct {
	router  *Router
	queries [][]Event // the events of queries of eight parts
	events  []Event
}

func newDriver(router *Router) *driver {
	d := &driver{router: router}
	for i := range 512 {
		n := 8
		id := fmt.Sprintf("q%d", i)
		events := []Event{Query{ID: id, Class: "some", Number: int64(i), Grace: 2 * sec, Parts: n}}
		for p := range n {
			events = append(events, Part{ID: fmt.Sprintf("%s.%d", id, p), Class: "some", Number: int64(i),
				Shard: (i + p) % router.settings.Shards, Weight: 1 / float64(n)})
		}
		d.queries = append(d.queries, events)
	}
	return d
}

// roundTrip sends one query of eight parts, has all its attempts served and returns their number.
func (d *driver) roundTrip(i int) int {
	now := 10*sec + Micros(i)*100*ms
	d.events = d.events[:0]
	for _, a := range d.router.Step(now, d.queries[i%len(d.queries)]) {
		if s, ok := a.(Send); ok {
			d.events = append(d.events, Outcome{ID: s.ID, Server: s.Server, Verdict: Served})
		}
	}
	d.router.Step(now+20*ms, d.events)
	return len(d.events)
}

func BenchmarkQuery(b *testing.B) {
	for _, servers := range []int{12, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			d := newDriver(newFleetRouter(b, servers))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				d.roundTrip(i)
			}
		})
	}
}

// Guards against a list row or a query that copies all servers: their allocations must not grow with the
// fleet.
func TestWorkPerQueryDoesNotGrowWithTheFleet(t *testing.T) {
	cost := func(servers int) (perQuery, perRow float64) {
		router, i := newFleetRouter(t, servers), 0
		d := newDriver(router)
		for range 5000 { // until each server has been used
			d.roundTrip(i)
			i++
		}
		perQuery = testing.AllocsPerRun(200, func() {
			if d.roundTrip(i) < 4 {
				t.Fatal("a query was not sent though all windows have capacity")
			}
			i++
		})
		row := testServers(1, 1)
		perRow = testing.AllocsPerRun(200, func() {
			router.Step(10*sec+Micros(i)*100*ms, []Event{List{Form: Delta, Servers: row}})
		})
		return perQuery, perRow
	}
	smallQuery, smallRow := cost(12)
	largeQuery, largeRow := cost(1200)
	if largeQuery > 1.1*smallQuery || largeRow > smallRow {
		t.Errorf("allocations per query %.0f and %.0f, per list row %.0f and %.0f, with 12 and 1200 servers",
			smallQuery, largeQuery, smallRow, largeRow)
	}
}
