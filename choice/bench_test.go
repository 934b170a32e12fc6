package choice

import (
	"fmt"
	"testing"
)

// fleet is a router told of so many servers in cells of three, with all windows open.
func fleet(tb testing.TB, servers int) *Router {
	set := testSettings()
	set.Cells, set.Width, set.Shards, set.Routers = servers/3, 1, servers/3, 30
	r, err := New(1, set)
	if err != nil {
		tb.Fatal(err)
	}
	r.Step(sec, []Event{List{Form: Cached, Servers: rows(set.Cells, 3)}})
	return r
}

// caller is what drives a router: it has its events ready, so that what is measured
// is the deciding and not the making of names. Outcomes it makes as they come.
type caller struct {
	r      *Router
	asks   [][]Event // queries of eight parts
	events []Event
}

func newCaller(r *Router) *caller {
	c := &caller{r: r}
	for i := range 512 {
		n := 8
		id := fmt.Sprintf("q%d", i)
		events := []Event{Query{ID: id, Class: "some", Number: int64(i), Grace: 2 * sec, Parts: n}}
		for p := range n {
			events = append(events, Part{ID: fmt.Sprintf("%s.%d", id, p), Class: "some", Number: int64(i),
				Shard: (i + p) % r.settings.Shards, Weight: 1 / float64(n)})
		}
		c.asks = append(c.asks, events)
	}
	return c
}

// roundTrip is one query of eight parts, all served.
func (c *caller) roundTrip(i int) int {
	now := 10*sec + Micros(i)*100*ms
	c.events = c.events[:0]
	for _, a := range c.r.Step(now, c.asks[i%len(c.asks)]) {
		if s, ok := a.(Send); ok {
			c.events = append(c.events, Outcome{ID: s.ID, Server: s.Server, Verdict: Served})
		}
	}
	c.r.Step(now+20*ms, c.events)
	return len(c.events)
}

func BenchmarkQuery(b *testing.B) {
	for _, servers := range []int{12, 1200} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			c := newCaller(fleet(b, servers))
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				c.roundTrip(i)
			}
		})
	}
}

// One list line and one query allocate the same whatever the fleet: neither walks all servers into a new list.
func TestWorkPerQueryDoesNotGrowWithTheFleet(t *testing.T) {
	cost := func(servers int) (perQuery, perLine float64) {
		r, i := fleet(t, servers), 0
		c := newCaller(r)
		for range 5000 { // until each server has been met
			c.roundTrip(i)
			i++
		}
		perQuery = testing.AllocsPerRun(200, func() {
			if c.roundTrip(i) < 4 {
				t.Fatal("a query with room everywhere was not sent")
			}
			i++
		})
		line := rows(1, 1)
		perLine = testing.AllocsPerRun(200, func() {
			r.Step(10*sec+Micros(i)*100*ms, []Event{List{Form: Delta, Servers: line}})
		})
		return perQuery, perLine
	}
	smallQuery, smallLine := cost(12)
	largeQuery, largeLine := cost(1200)
	if largeQuery > 1.1*smallQuery || largeLine > smallLine {
		t.Errorf("allocations per query %.0f and %.0f, per list line %.0f and %.0f, with 12 and 1200 servers",
			smallQuery, largeQuery, smallLine, largeLine)
	}
}
