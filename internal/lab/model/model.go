// Package model holds the models of the emulator: leaf servers, the network between sites,
// clients with their arrivals and retries, and faults, with all their random draws;
// docs/design/emulator.md gives each model's source and limits. It must not depend on the
// driver that runs it: the caller provides the clock and the timers, and only one goroutine at
// a time may use the package. A draw must not depend on the order of calls: the properties of
// a part are drawn from the seed and the part's name alone, so that two runs with the same
// seed request the same work whatever the proxies decide.
package model

import (
	"math/rand/v2"
	"time"
)

// Sched is the clock and the timers of a driver. Now counts from the start of the run.
type Sched interface {
	Now() time.Duration
	After(d time.Duration, f func()) Timer
}

// Timer is a timer; Stop reports whether it was still pending.
type Timer interface{ Stop() bool }

// Mix hashes texts into a seed: FNV-1a with the finalizer of splitmix64, so that texts that
// differ in one character give unrelated seeds.
func Mix(seed uint64, texts ...string) uint64 {
	h := uint64(14695981039346656037) ^ seed*0x9e3779b97f4a7c15
	for _, s := range texts {
		for i := range len(s) {
			h = (h ^ uint64(s[i])) * 1099511628211
		}
		h = (h ^ 0xff) * 1099511628211
	}
	h ^= h >> 30
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 27
	h *= 0x94d049bb133111eb
	return h ^ h>>31
}

// Rand returns a random source for one purpose of a seed.
func Rand(seed uint64, texts ...string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, Mix(seed, texts...)))
}

// unit maps a hash to [0, 1).
func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// Uniform returns the number in [0, 1) that a seed assigns to a name.
func Uniform(seed uint64, texts ...string) float64 { return unit(Mix(seed, texts...)) }
