// Package report writes a run, or a comparison of two sides, as one self-contained
// HTML file: it needs no network, script or other file. It owns the page. It must never
// show a figure that is not in the run folder.
package report

import (
	"fmt"
	"html/template"
	"io"
	"time"

	"saddleport/internal/lab/compare"
	"saddleport/internal/lab/record"
)

type chart struct {
	Name string
	SVG  template.HTML
}

type page struct {
	Title    string
	Run      *record.Run
	Line     string
	Scenario string
	Where    string
	Charts   []chart
	Unmet    []string
	Faults   []string
	Rows     []compare.Row
	A, B     string
	Both     []pair
}

type pair struct{ A, B chart }

const maxEvents = 400

var funcs = template.FuncMap{
	"ms": func(d time.Duration) string { return record.MS(d) },
	"s":  func(d time.Duration) string { return fmt.Sprintf("%.2f s", d.Seconds()) },
	"f3": func(f float64) string { return fmt.Sprintf("%.3f", f) },
	"f4": func(f float64) string { return fmt.Sprintf("%+.4f", f) },
	"g4": func(f float64) string { return fmt.Sprintf("%.4f", f) },
	"first": func(e []record.Event) []record.Event {
		return e[:min(len(e), maxEvents)]
	},
}

const style = `<style>
body{font:15px/1.45 system-ui,sans-serif;color:#222;max-width:76em;margin:1.5em auto;padding:0 1em}
h1{font-size:1.5em;margin:0 0 .2em}h2{font-size:1.1em;margin:1.6em 0 .4em;border-bottom:1px solid #ccc}
table{border-collapse:collapse;font-variant-numeric:tabular-nums}td,th{white-space:nowrap;padding:.2em .7em;text-align:right;border-bottom:1px solid #e4e4e4}
th{font-weight:600;background:#f4f4f4}td:first-child,th:first-child{text-align:left}
.pass{color:#0a6b3d;font-weight:700}.fail{color:#b00020;font-weight:700}
.charts{display:grid;grid-template-columns:repeat(auto-fit,minmax(34em,1fr));gap:1em}
.charts svg,.both svg{width:100%;height:auto}.both{display:grid;grid-template-columns:1fr 1fr;gap:1em}
pre{background:#f6f6f6;padding:.8em;overflow:auto;font-size:.85em}.note{color:#555}.better{color:#0a6b3d}.worse{color:#b00020}
</style>`

var runPage = template.Must(template.New("run").Funcs(funcs).Parse(`<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>` + style + `</head><body>
<h1>{{.Title}}</h1>
<p class="note">{{with .Run.Summary}}{{.Drive}} drive, policy {{.Policy}}, seed {{.Seed}}, variation {{.Variation}}{{end}} · {{s .Run.Length}} of load, the first {{s .Run.Warmup}} not counted · {{.Where}}</p>
<p><span class="{{if .Unmet}}fail{{else}}pass{{end}}">{{.Line}}</span></p>
{{if .Unmet}}<ul>{{range .Unmet}}<li>not met: {{.}}</li>{{end}}</ul>{{end}}
{{if .Faults}}<h2>Broken rules (the first of them)</h2><ul>{{range .Faults}}<li>{{.}}</li>{{end}}</ul>{{end}}
<h2>Classes</h2>
<table><tr><th>class</th><th>asked</th><th>tries</th><th>answered</th><th>whole</th><th>refused</th><th>failed</th><th>left</th><th>goodput</th><th>p50</th><th>p90</th><th>p99</th><th>p99.9</th><th>p99 of all</th></tr>
{{range .Run.Classes}}<tr><td>{{.Name}}</td><td>{{.Asked}}</td><td>{{.Tries}}</td><td>{{.Answered}}</td><td>{{.Whole}}</td><td>{{.Refused}}</td><td>{{.Failed}}</td><td>{{.Left}}</td><td>{{f3 .Goodput}}</td><td>{{ms .P50}}</td><td>{{ms .P90}}</td><td>{{ms .P99}}</td><td>{{ms .P999}}</td><td>{{ms .P99All}}</td></tr>
{{end}}</table>
<p class="note">Times count from when a query was due, not from when it was sent. "p99 of all" counts a query without an answer with its full timeout.</p>
<h2>Charts</h2><div class="charts">{{range .Charts}}<figure id="{{.Name}}">{{.SVG}}</figure>{{end}}</div>
<p class="note">Dotted lines mark events.</p>
<h2>Events</h2><table><tr><th>at</th><th style="text-align:left">event</th></tr>{{range first .Run.Events}}<tr><td>{{s .At}}</td><td style="text-align:left">{{.Text}}</td></tr>{{end}}</table>
<h2>Scenario</h2><pre>{{.Scenario}}</pre>
</body></html>
`))

var comparePage = template.Must(template.New("compare").Funcs(funcs).Parse(`<!doctype html><html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>` + style + `</head><body>
<h1>{{.Title}}</h1><p class="note">A: {{.A}}<br>B: {{.B}}</p>
<h2>Figures, paired by variation and seed</h2>
<table><tr><th>variation</th><th>figure</th><th>pairs</th><th>A</th><th>B</th><th>B − A</th><th>95% interval</th><th>B is</th></tr>
{{range .Rows}}<tr><td>{{.Variation}}</td><td>{{.Figure}}</td><td>{{.Pairs}}</td><td>{{g4 .A}}</td><td>{{g4 .B}}</td><td>{{f4 .Diff}}</td><td>{{if .Known}}{{f4 .Low}} to {{f4 .High}}{{else}}-{{end}}</td><td class="{{.Verdict}}">{{.Verdict}}</td></tr>
{{end}}</table>
{{if .Both}}<h2>One run of each: A left, B right</h2>{{range .Both}}<div class="both"><figure>{{.A.SVG}}</figure><figure>{{.B.SVG}}</figure></div>{{end}}{{end}}
</body></html>
`))

func charts(r *record.Run) ([]chart, error) {
	var out []chart
	for _, c := range []struct {
		name string
		draw func(*record.Run) (string, error)
	}{{"goodput", goodput}, {"latency", latency}, {"load", load}, {"attempts", attempts}, {"value", value}, {"depth", queueDepth}} {
		text, err := c.draw(r)
		if err != nil {
			return nil, fmt.Errorf("chart %s: %w", c.name, err)
		}
		if text != "" {
			out = append(out, chart{c.name, template.HTML(text)})
		}
	}
	return out, nil
}

// Run writes the page of a run.
func Run(w io.Writer, r *record.Run, saved *record.Saved, scenario, where string) error {
	list, err := charts(r)
	if err != nil {
		return err
	}
	unmet := r.Unmet()
	if saved != nil {
		unmet = saved.Unmet
	}
	line := r.Line()
	if saved != nil && len(unmet) == 0 && r.Verdict.Violations() > 0 {
		line += " (the scenario expects broken rules)"
	}
	return runPage.Execute(w, page{Title: "Run of " + r.Summary.Scenario, Run: r, Line: line, Scenario: scenario, Where: where, Charts: list, Unmet: unmet, Faults: r.Verdict.Faults})
}

// Compare writes the page that compares two sides. a and b are one run of each side, or
// nil.
func Compare(w io.Writer, rows []compare.Row, nameA, nameB string, a, b *record.Run) error {
	p := page{Title: "Two sides compared", Rows: rows, A: nameA, B: nameB}
	if a != nil && b != nil {
		left, err := charts(a)
		if err != nil {
			return err
		}
		right, err := charts(b)
		if err != nil {
			return err
		}
		for i := range min(len(left), len(right)) {
			p.Both = append(p.Both, pair{left[i], right[i]})
		}
	}
	return comparePage.Execute(w, p)
}
