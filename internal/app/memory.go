package app

// This file reads the memory use of the proxy, which is logged with the counters so that its
// course over a day can be seen in the log. It reads only the metrics of the Go runtime: the
// operators' bench (docs/design/standing.md) rejects reading files and starting programs.

import (
	"runtime/metrics"
)

// memoryMetrics names the runtime metrics that memoryPairs reads. All but the goroutines are in
// bytes.
var memoryMetrics = []string{
	"/memory/classes/total:bytes",         // all memory that the runtime has mapped
	"/memory/classes/heap/released:bytes", // the part of it that was returned to the operating system
	"/memory/classes/heap/objects:bytes",  // live objects, and dead ones that are not swept yet
	"/sched/goroutines:goroutines",
}

// memoryPairs returns keys and values for the log: held_kb (mapped minus released memory, close
// to the resident size that the system counts), heap_kb, mapped_kb and goroutines.
func memoryPairs() []any {
	samples := make([]metrics.Sample, len(memoryMetrics))
	for i, n := range memoryMetrics {
		samples[i].Name = n
	}
	metrics.Read(samples)
	v := func(i int) uint64 {
		if samples[i].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return samples[i].Value.Uint64()
	}
	total, released := v(0), v(1)
	return []any{"held_kb", (total - min(released, total)) / 1024, "heap_kb", v(2) / 1024, "mapped_kb", total / 1024, "goroutines", v(3)}
}
