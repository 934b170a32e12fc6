package outlier

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sketch is a histogram of latencies as multiples of the peers' median, with an error of at
// most a tenth. Sketches of several proxies are merged by adding.
type Sketch struct{ h *hdrhistogram.Histogram }

const (
	fine      = 16   // steps of a ratio of one
	mostRatio = 256  // a ratio above counts as that
	mostCells = 96   // of a sketch that is sent
	mostOfOne = 4096 // samples of one cell that are sent
)

// ErrInvalidSketch is returned for a sketch that another process cannot have written.
var ErrInvalidSketch = errors.New("invalid sketch")

func newSketch() Sketch { return Sketch{hdrhistogram.New(1, fine*mostRatio, 1)} }

func cell(ratio float64) int64 {
	return int64(min(max(math.Round(ratio*fine), 1), fine*mostRatio))
}

func (s Sketch) add(c int64) { s.h.RecordValue(c) }

func speaksOf(c int64) float64 { return speaks(float64(c) / fine) }

// Merge adds another sketch's samples.
func (s Sketch) Merge(o Sketch) { s.h.Merge(o.h) }

// Samples counts the samples.
func (s Sketch) Samples() int { return int(s.h.TotalCount()) }

// Median returns the median ratio; 0 if there are no samples.
func (s Sketch) Median() float64 {
	if s.h.TotalCount() == 0 {
		return 0
	}
	return float64(s.h.ValueAtQuantile(50)) / fine
}

// Score weighs all samples: a slow one counts for slowness, any other against it, and none
// alone for much. Scores add up over proxies as the sketches do.
func (s Sketch) Score() (sum float64) {
	for _, bar := range s.h.Distribution() {
		if bar.Count > 0 {
			sum += float64(bar.Count) * speaks(float64(bar.From+bar.To)/2/fine)
		}
	}
	return sum
}

// speaks is the weight of one sample: the logarithm of the ratio beyond what is slow, within
// bounds, so that one answer of a heavy tail weighs no more than a fast one against it.
func speaks(ratio float64) float64 {
	return min(max(math.Log(max(ratio, 1.0/fine)/slowRatio), -mostAgainst), mostFor)
}

// MarshalJSON writes a sketch as cells and counts in turn.
func (s Sketch) MarshalJSON() ([]byte, error) {
	out := []int64{}
	for _, bar := range s.h.Distribution() {
		if bar.Count > 0 && len(out) < 2*mostCells {
			out = append(out, bar.From, bar.Count)
		}
	}
	return json.Marshal(out)
}

// UnmarshalJSON reads what MarshalJSON writes, within bounds.
func (s *Sketch) UnmarshalJSON(raw []byte) error {
	var in []int64
	if err := json.Unmarshal(raw, &in); err != nil {
		return err
	}
	if len(in)%2 != 0 || len(in) > 2*mostCells {
		return fmt.Errorf("%d numbers: %w", len(in), ErrInvalidSketch)
	}
	*s = newSketch()
	for i := 0; i < len(in); i += 2 {
		if in[i] < 1 || in[i] > fine*mostRatio || in[i+1] < 1 || in[i+1] > mostOfOne {
			return fmt.Errorf("cell %d with %d samples: %w", in[i], in[i+1], ErrInvalidSketch)
		}
		if err := s.h.RecordValues(in[i], in[i+1]); err != nil {
			return err
		}
	}
	return nil
}
