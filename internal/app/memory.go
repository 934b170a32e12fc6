package app

// This file owns the mixer's reading of its own memory, logged beside the counters
// so that a long day's curve can be read from the log. It reads the Go runtime's
// metrics only; it must never read files or start anything (the standing bench
// refuses both).

import (
	"runtime/metrics"
)

// memoryNames are the runtime's metrics read, in bytes but for goroutines.
var memoryNames = []string{
	"/memory/classes/total:bytes",         // all the runtime has mapped
	"/memory/classes/heap/released:bytes", // of that, given back to the system
	"/memory/classes/heap/objects:bytes",  // live and not yet swept objects
	"/sched/goroutines:goroutines",
}

// memoryPairs returns key=value pairs for the log: held_kb (mapped less released,
// near what the system counts as resident), heap_kb, mapped_kb, goroutines.
func memoryPairs() []any {
	samples := make([]metrics.Sample, len(memoryNames))
	for i, n := range memoryNames {
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
