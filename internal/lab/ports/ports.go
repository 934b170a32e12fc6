// Package ports selects port numbers for processes that listen on loopback addresses of their own.
// The ports are below the range from which the kernel takes the ports of outgoing connections.
// Otherwise an outgoing connection from a machine's own address could occupy the port on which the
// next process of that machine is to listen.
package ports

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"os"
)

const (
	lowest         = 10_000
	defaultHighest = 30_000 // if the start of the kernel's range is unknown
	attempts       = 100
)

// ErrNoneFree reports that no range of free ports was found in 100 attempts.
var ErrNoneFree = errors.New("no range of free ports below the kernel's range for outgoing connections")

// FreeRange returns the first of count consecutive ports that are free on 127.0.0.1. It starts at
// a random port.
func FreeRange(count int) (first int, err error) {
	highest := kernelRangeBegin() - count
	if highest <= lowest {
		return 0, ErrNoneFree
	}
	for range attempts {
		first = lowest + rand.IntN(highest-lowest)
		if free(first, count) {
			return first, nil
		}
	}
	return 0, ErrNoneFree
}

// kernelRangeBegin returns the lowest port that the kernel assigns to outgoing connections.
func kernelRangeBegin() int {
	text, err := os.ReadFile("/proc/sys/net/ipv4/ip_local_port_range")
	if err != nil {
		return defaultHighest
	}
	begin := 0
	if _, err := fmt.Sscan(string(text), &begin); err != nil || begin <= lowest {
		return defaultHighest
	}
	return begin
}

// free reports whether count ports from first are free on 127.0.0.1.
func free(first, count int) bool {
	for port := first; port < first+count; port++ {
		listener, err := net.Listen("tcp4", fmt.Sprintf("127.0.0.1:%d", port))
		if err != nil {
			return false
		}
		listener.Close()
	}
	return true
}
