package quota

import "testing"

// Guards against a maximum that is lost within the window or that outlasts it.
func TestRecentMax(t *testing.T) {
	const window = 10
	var counts recentMax
	for _, step := range []struct {
		now     int64
		n, want int
	}{{0, 5, 5}, {1, 3, 5}, {2, 4, 5}, {10, 2, 5}, {11, 2, 4}, {13, 2, 2}, {14, 9, 9}, {24, 1, 9}, {25, 1, 1}} {
		if got := counts.observe(step.now, window, step.n); got != step.want {
			t.Errorf("observe at %d with count %d = %d; want %d", step.now, step.n, got, step.want)
		}
	}
}
