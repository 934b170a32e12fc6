// Command soakmutants tests the soak test itself by mutation: a judge that has never found a fault
// proves nothing. For each mutant, it removes one rule of the system in a copy of the tree and runs
// soaks with successive seeds until one finds the fault. It prints the seed that found each mutant
// and exits with 1 if a mutant was not found.
//
//	go run ./tools/soakmutants [--only NAME] [--length 45s] [--seeds 4] [--seed 1]
package main

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"
)

// mutant removes one rule by replacing a text that occurs once in a file.
type mutant struct {
	name, fault      string
	file             string
	old, replacement string
}

var mutants = []mutant{
	{"forgotten-peers", "processes that considered each other dead never call each other again (issue 52)",
		"internal/cluster/gossip/rejoin.go", "if now < g.nextRejoinAt {", "if now >= 0 {"},
	{"dropped-change", "one proxy drops the changes of 8 s in every 16 s",
		"internal/node/proxy/proxy.go", "\tconfig, err := routeconfig.Parse(entry.Value)\n", "\tif strings.HasSuffix(p.settings.Name, \"-2\") && time.Now().Unix()%16 < 8 {\n\t\treturn\n\t}\n\tconfig, err := routeconfig.Parse(entry.Value)\n"},
	{"late-change", "each change is applied 4 s late",
		"internal/node/proxy/proxy.go", "\tp.routes.SetPlan(plan)\n", "\ttime.AfterFunc(4*time.Second, func() { p.routes.SetPlan(plan) })\n"},
	{"older-change", "every eighth configuration is replaced by the previous one after 1 s",
		"internal/node/proxy/proxy.go", "\tp.routes.SetPlan(plan)\n", "\tif before := p.routes.Plan(); before != nil && config.Revision%8 == 0 {\n\t\ttime.AfterFunc(time.Second, func() { p.routes.SetPlan(before) })\n\t}\n\tp.routes.SetPlan(plan)\n"},
	{"withdrawn-route", "a withdrawn route is still served",
		"internal/downstream/httpserver/httpserver.go", "\tif route == nil {\n", "\tif route != nil {\n\t\tkept.Store(r.Path, p)\n\t} else if before, is := kept.Load(r.Path); is {\n\t\tp = before.(*Plan)\n\t\troute = p.Config.MatchRoute(r.Header.Get(\"Host\"), r.Path)\n\t}\n\tif route == nil {\n"},
	{"invalid-taken", "weights that sum to 0 are valid",
		"internal/cluster/routeconfig/routeconfig.go", "if sum <= 0 {", "if sum < 0 {"},
	{"sent-twice", "a write is handled as if it were idempotent",
		"internal/downstream/httpserver/plan.go", "if r.Idempotent {\n", "if r.Idempotent || r.MaxAttempts > 0 {\n"},
	{"answer-swapped", "one in a hundred answers belongs to the previous request",
		"internal/downstream/httpserver/httpserver.go", "\t\t\treturn c.WriteBytes(completeHead(f.Hits[0].Value, keep))\n", "\t\t\tanswer := f.Hits[0].Value\n\t\t\tif before, is := last.Swap(answer).(string); is && h.number.Add(1)%100 == 0 {\n\t\t\t\tanswer = before\n\t\t\t}\n\t\t\treturn c.WriteBytes(completeHead(answer, keep))\n"},
	{"records-unordered", "the records of a fan-out answer are not merged in their order",
		"internal/downstream/httpserver/httpserver.go", "return cmp.Compare(b, a) })", "return 0 })"},
	{"connection-closed", "one in two hundred requests has its connection closed before its answer",
		"internal/downstream/httpserver/httpserver.go", "\t\tif f.Ending == exchange.Answered {\n", "\t\tif h.number.Add(1)%200 == 0 {\n\t\t\treturn false\n\t\t}\n\t\tif f.Ending == exchange.Answered {\n"},
	{"drain-ignored", "a draining server gets requests as before",
		"internal/node/proxy/proxy.go", "\t\tserver.State = choice.Draining\n", "\t\tserver.State = choice.Ready\n"},
	{"stale-read", "reads check neither that the tail's view is current nor that the machine has a quorum",
		"internal/node/controlplane/handover.go", "func (c *replicaRunner) requireQuorum(ctx context.Context) error {\n", "func (c *replicaRunner) requireQuorum(ctx context.Context) error {\n\tif c != nil {\n\t\treturn nil\n\t}\n"},
}

// support is additional code that some mutants need, in a file of the mutated package.
var support = map[string]string{
	"withdrawn-route": "package httpserver\n\nimport \"sync\"\n\nvar kept sync.Map\n",
	"answer-swapped":  "package httpserver\n\nimport \"sync/atomic\"\n\nvar last atomic.Value\n",
}

// second is the second change of mutants that need two.
var second = map[string]mutant{
	"stale-read": {file: "internal/node/controlplane/replica.go", old: "chain.Mutations{}", replacement: "chain.Mutations{StaleRead: true}"},
	"sent-twice": {file: "internal/downstream/httpserver/httpserver.go", old: "NonIdempotent: !route.Idempotent,", replacement: "NonIdempotent: false,"},
}

var errOutOfDate = errors.New("the text to replace does not occur exactly once: the mutant is out of date")

func main() {
	only := flag.String("only", "", "the mutant to run; all if empty")
	length := flag.Duration("length", 45*time.Second, "duration of each soak")
	seeds := flag.Int("seeds", 4, "maximum number of soaks of each mutant")
	seed := flag.Uint64("seed", 1, "the first seed")
	flag.Parse()
	notFound := 0
	for _, m := range mutants {
		if *only != "" && *only != m.name {
			continue
		}
		found, err := run(m, *length, *seeds, *seed)
		if err != nil {
			fmt.Fprintf(os.Stderr, "soakmutants: %s: %v\n", m.name, err)
			os.Exit(1)
		}
		if found == "" {
			notFound++
			found = "NOT FOUND"
		}
		fmt.Printf("%-18s %-90s %s\n", m.name, m.fault, found)
	}
	if notFound > 0 {
		os.Exit(1)
	}
}

// run builds a mutant and runs soaks with successive seeds until one finds something. It returns
// an empty text if none does.
func run(m mutant, length time.Duration, seeds int, first uint64) (found string, err error) {
	dir, err := os.MkdirTemp("", "soak-mutant-")
	if err != nil {
		return "", err
	}
	defer os.RemoveAll(dir)
	tree := filepath.Join(dir, "tree")
	if out, err := exec.Command("git", "checkout-index", "--all", "--prefix="+tree+"/").CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	if err := m.apply(tree); err != nil {
		return "", err
	}
	build := exec.Command("go", "build", "-o", "target/", "./cmd/proxy", "./cmd/agent", "./cmd/controlplane", "./cmd/saddlectl")
	build.Dir = tree
	if out, err := build.CombinedOutput(); err != nil {
		return "", fmt.Errorf("%w: %s", err, out)
	}
	for seed := first; seed < first+uint64(seeds); seed++ {
		started := time.Now()
		soak := exec.Command(filepath.Join(tree, "target", "saddlectl"), "soak", "--seed", fmt.Sprint(seed), "--length", length.String(), "--out", filepath.Join(dir, "out"))
		out, err := soak.Output()
		var exit *exec.ExitError
		if err != nil && !errors.As(err, &exit) {
			return "", err
		}
		if line := firstFinding(string(out)); line != "" {
			return fmt.Sprintf("seed %d, after %d s: %s", seed, int(time.Since(started).Seconds()), line), nil
		}
	}
	return "", nil
}

// firstFinding returns the first finding of a soak report, or an empty text if it has none.
func firstFinding(report string) string {
	_, rest, _ := strings.Cut(report, "\nfindings: ")
	lines := strings.Split(rest, "\n")
	if len(lines) < 2 {
		return ""
	}
	return strings.TrimSpace(lines[1])
}

func (m mutant) apply(tree string) error {
	changes := []mutant{m}
	if other, is := second[m.name]; is {
		changes = append(changes, other)
	}
	for _, change := range changes {
		file := filepath.Join(tree, change.file)
		text, err := os.ReadFile(file)
		if err != nil {
			return err
		}
		if strings.Count(string(text), change.old) != 1 {
			return fmt.Errorf("%s: %q: %w", change.file, change.old, errOutOfDate)
		}
		if err := os.WriteFile(file, []byte(strings.Replace(string(text), change.old, change.replacement, 1)), 0o644); err != nil {
			return err
		}
	}
	if code := support[m.name]; code != "" {
		return os.WriteFile(filepath.Join(tree, filepath.Dir(m.file), "mutant.go"), []byte(code), 0o644)
	}
	return nil
}
