package choice_test

import (
	"fmt"

	"saddleport/choice"
)

// The caller passes events with its clock reading and carries out the actions.
func Example() {
	router, err := choice.New(42, choice.Settings{
		Classes: []choice.Class{{
			Name: "view", LatencyTarget: 1_000_000, Deadline: 2_000_000, Value: 1, RequiredShare: 1, MinShare: 1,
		}},
		Shards: 2, Cells: 2, Width: 1, AttemptCap: 2, Cancel: true, Resolution: 5_000,
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	router.Step(0, []choice.Event{choice.List{Form: choice.Cached, Servers: []choice.Server{
		{ID: "left", Cell: 0, State: choice.Ready, Scale: 1},
		{ID: "right", Cell: 1, State: choice.Ready, Scale: 1},
	}}})

	show := func(actions []choice.Action) {
		for _, a := range actions {
			switch a := a.(type) {
			case choice.Send:
				fmt.Println("send", a.ID, "to", a.Server)
			case choice.Answer:
				fmt.Println("answer", a.ID, "complete:", a.Whole)
			}
		}
	}
	show(router.Step(1_000, []choice.Event{
		choice.Query{ID: "q", Class: "view", Number: 1, Grace: 2_000_000, Parts: 2},
		choice.Part{ID: "q.0", Class: "view", Number: 1, Shard: 0, Weight: 0.5},
		choice.Part{ID: "q.1", Class: "view", Number: 1, Shard: 1, Weight: 0.5},
	}))
	show(router.Step(81_000, []choice.Event{
		choice.Outcome{ID: "q.0", Server: "left", Delay: 80_000, Verdict: choice.Served},
		choice.Outcome{ID: "q.1", Server: "right", Delay: 80_000, Verdict: choice.Served},
	}))
	// Output:
	// send q.0 to left
	// send q.1 to right
	// answer q complete: true
}
