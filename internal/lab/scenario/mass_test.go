// This file checks the size of the full-size drills that the operators' standing test plays.
// It reads every drills/mass-*.ini and must not run one (the emulator's tests do that).
package scenario

import (
	"path/filepath"
	"testing"
)

func TestMassDrillsAreFullSize(t *testing.T) {
	files, err := filepath.Glob("../../../drills/mass-*.ini")
	if err != nil || len(files) < 5 {
		t.Fatalf("mass drills: %v, found %d of 5", err, len(files))
	}
	for _, f := range files {
		s, err := Read(f)
		if err != nil {
			t.Fatalf("%s: %v", f, err)
		}
		servers := 0
		for _, g := range s.Groups {
			servers += g.Cells * g.Replicas
		}
		if s.Proxies.Count != 300 || servers < 200 || len(s.Network.Sites) < 3 {
			t.Errorf("%s: %d proxies, %d servers, %d zones; the full-size drills have 300, 200 or more, 3",
				f, s.Proxies.Count, servers, len(s.Network.Sites))
		}
	}
}
