// Command noop handles every point and requests nothing. It measures the cost of calling a
// hook.
package main

import "saddleport/sdk/guest"

func main() {}

func init() {
	for p := guest.Taken; p <= guest.Ended; p++ {
		guest.Handle(p, func(*guest.Query) *guest.Answer { return nil })
	}
}
