// Package model is what the emulator is made of: leaf servers, the network between
// sites, clients with their arrivals and retries, and faults. It owns what these do
// and draws their luck; docs/design/emulator.md gives each model's source and limits.
// It must never know which drive it runs on: the clock and the alarms are its
// caller's, and one goroutine at a time is in it. Nor may a draw hang on the order
// in which things are asked for: what belongs to a part is drawn from the seed and
// the part's name alone, so that two runs with the same seed ask for the same work
// whatever the mixer does.
package model

import (
	"math/rand/v2"
	"time"
)

// Sched is the clock and the alarms of a drive. Now counts from the run's begin.
type Sched interface {
	Now() time.Duration
	After(d time.Duration, f func()) Timer
}

// Timer is an alarm; Stop tells whether it was still to fire.
type Timer interface{ Stop() bool }

// Mix folds a text into a seed: FNV-1a, finished as by splitmix64, so that texts
// which differ in one place give seeds that share nothing.
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

// Rand is a source for one purpose of a seed.
func Rand(seed uint64, texts ...string) *rand.Rand {
	return rand.New(rand.NewPCG(seed, Mix(seed, texts...)))
}

// unit maps a hash to [0, 1).
func unit(h uint64) float64 { return float64(h>>11) / (1 << 53) }

// Luck is the share in [0, 1) that a seed gives to a name.
func Uniform(seed uint64, texts ...string) float64 { return unit(Mix(seed, texts...)) }
