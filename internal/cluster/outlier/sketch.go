package outlier

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Sketch is a histogram of latencies as multiples of the peers' median, with a relative error of at
// most a tenth. Sketches of several proxies are merged by adding their counts.
type Sketch struct{ h *hdrhistogram.Histogram }

const (
	cellsPerUnit = 16   // cells for a ratio of one
	maxRatio     = 256  // higher ratios count as this
	maxCells     = 96   // cells of an encoded sketch
	maxCellCount = 4096 // samples in one cell of an encoded sketch
)

// ErrInvalidSketch is returned for an encoded sketch that MarshalJSON cannot have written.
var ErrInvalidSketch = errors.New("invalid sketch")

func newSketch() Sketch { return Sketch{hdrhistogram.New(1, cellsPerUnit*maxRatio, 1)} }

// cellOf returns the histogram cell of a latency ratio.
func cellOf(ratio float64) int64 {
	return int64(min(max(math.Round(ratio*cellsPerUnit), 1), cellsPerUnit*maxRatio))
}

func (s Sketch) add(cell int64) { s.h.RecordValue(cell) }

// cellScore returns the score of a sample in a cell.
func cellScore(cell int64) float64 { return sampleScore(float64(cell) / cellsPerUnit) }

// Merge adds the samples of another sketch.
func (s Sketch) Merge(other Sketch) { s.h.Merge(other.h) }

// Samples returns the number of samples.
func (s Sketch) Samples() int { return int(s.h.TotalCount()) }

// Median returns the median ratio, or 0 if there are no samples.
func (s Sketch) Median() float64 {
	if s.h.TotalCount() == 0 {
		return 0
	}
	return float64(s.h.ValueAtQuantile(50)) / cellsPerUnit
}

// Score returns the sum of the scores of all samples: slow samples add to it, all others subtract, and
// no single sample changes it much. The score of a merged sketch is the sum of the scores.
func (s Sketch) Score() (sum float64) {
	for _, bar := range s.h.Distribution() {
		if bar.Count > 0 {
			sum += float64(bar.Count) * sampleScore(float64(bar.From+bar.To)/2/cellsPerUnit)
		}
	}
	return sum
}

// sampleScore returns the score of one sample: the logarithm of its ratio to slowRatio, limited so
// that one answer from a heavy tail does not outweigh a fast one.
func sampleScore(ratio float64) float64 {
	return min(max(math.Log(max(ratio, 1.0/cellsPerUnit)/slowRatio), -maxFastScore), maxSlowScore)
}

// MarshalJSON encodes a sketch as a list of alternating cells and counts.
func (s Sketch) MarshalJSON() ([]byte, error) {
	out := []int64{}
	for _, bar := range s.h.Distribution() {
		if bar.Count > 0 && len(out) < 2*maxCells {
			out = append(out, bar.From, bar.Count)
		}
	}
	return json.Marshal(out)
}

// UnmarshalJSON decodes the output of MarshalJSON and checks its bounds. The error of an invalid
// sketch wraps ErrInvalidSketch.
func (s *Sketch) UnmarshalJSON(raw []byte) error {
	var in []int64
	if err := json.Unmarshal(raw, &in); err != nil {
		return err
	}
	if len(in)%2 != 0 || len(in) > 2*maxCells {
		return fmt.Errorf("odd or excessive list length %d: %w", len(in), ErrInvalidSketch)
	}
	*s = newSketch()
	for i := 0; i < len(in); i += 2 {
		if in[i] < 1 || in[i] > cellsPerUnit*maxRatio || in[i+1] < 1 || in[i+1] > maxCellCount {
			return fmt.Errorf("cell %d with %d samples is out of range: %w", in[i], in[i+1], ErrInvalidSketch)
		}
		if err := s.h.RecordValues(in[i], in[i+1]); err != nil {
			return err
		}
	}
	return nil
}
