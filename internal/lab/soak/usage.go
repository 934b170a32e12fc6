package soak

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"saddleport/internal/lab/soak/fleet"
)

const (
	sampleInterval = 2 * time.Second
	clockTicks     = 100 // per second, the unit of the times in /proc/PID/stat
)

// Usage is the resource usage of the processes of one program over the run.
type Usage struct {
	Program        string  `json:"program"`
	PeakMB         float64 `json:"peak_mb"`         // of the process with the highest value
	PeakFiles      int     `json:"peak_files"`      // as above
	FirstMB        float64 `json:"first_third_mb"`  // average of a process
	LastMB         float64 `json:"last_third_mb"`   // as above
	CPUMsPerChange float64 `json:"cpu_ms_a_change"` // of a process, with all of its other work included
	cpu            float64
}

type sample struct {
	at      time.Duration
	program string
	mb      float64
	files   int
}

// sampler samples the processes' memory, descriptors and CPU time from /proc.
type sampler struct {
	fleet   *fleet.Fleet
	end     chan struct{}
	done    sync.WaitGroup
	samples []sample
	cpu     map[int]float64 // seconds, by process id
	program map[int]string
}

func startSampler(f *fleet.Fleet) *sampler {
	s := &sampler{fleet: f, end: make(chan struct{}), cpu: make(map[int]float64), program: make(map[int]string)}
	s.done.Go(s.run)
	return s
}

func (s *sampler) run() {
	tick := time.NewTicker(sampleInterval)
	defer tick.Stop()
	for {
		select {
		case <-s.end:
			return
		case <-tick.C:
			for pid, program := range s.fleet.Pids() {
				s.take(pid, program)
			}
		}
	}
}

func (s *sampler) take(pid int, program string) {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return
	}
	files, _ := os.ReadDir(fmt.Sprintf("/proc/%d/fd", pid))
	s.samples = append(s.samples, sample{s.fleet.Now(), program, residentMB(string(status)), len(files)})
	if stat, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid)); err == nil {
		s.cpu[pid], s.program[pid] = cpuSeconds(string(stat)), program
	}
}

func residentMB(status string) float64 {
	for _, line := range strings.Split(status, "\n") {
		if fields := strings.Fields(line); len(fields) >= 2 && fields[0] == "VmRSS:" {
			kb, _ := strconv.ParseFloat(fields[1], 64)
			return kb / 1024
		}
	}
	return 0
}

// cpuSeconds returns the sum of user and system time, the 12th and 13th field after the program's
// name in /proc/PID/stat.
func cpuSeconds(stat string) float64 {
	fields := strings.Fields(stat[strings.LastIndexByte(stat, ')')+1:])
	if len(fields) < 13 {
		return 0
	}
	user, _ := strconv.ParseFloat(fields[11], 64)
	system, _ := strconv.ParseFloat(fields[12], 64)
	return (user + system) / clockTicks
}

// stop ends the sampling and returns the usage of each program.
func (s *sampler) stop() []Usage {
	close(s.end)
	s.done.Wait()
	if len(s.samples) == 0 {
		return nil
	}
	begin, end := s.samples[0].at, s.samples[len(s.samples)-1].at
	third := (end - begin) / 3
	var out []Usage
	for _, program := range []string{"controlplane", "agent", "proxy"} {
		u := Usage{Program: program}
		var first, last mean
		for _, x := range s.samples {
			if x.program != program {
				continue
			}
			u.PeakMB, u.PeakFiles = max(u.PeakMB, x.mb), max(u.PeakFiles, x.files)
			if x.at < begin+third {
				first.add(x.mb)
			} else if x.at > end-third {
				last.add(x.mb)
			}
		}
		u.FirstMB, u.LastMB = first.value(), last.value()
		for pid, seconds := range s.cpu {
			if s.program[pid] == program {
				u.cpu += seconds
			}
		}
		out = append(out, u)
	}
	return out
}

type mean struct {
	sum float64
	n   int
}

func (m *mean) add(x float64) { m.sum, m.n = m.sum+x, m.n+1 }

func (m mean) value() float64 { return m.sum / float64(max(m.n, 1)) }
