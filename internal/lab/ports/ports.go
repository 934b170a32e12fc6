// Package ports draws port numbers for processes that listen on loopback addresses of their own.
// It stays below the range from which the kernel takes the ports of outgoing connections: one of
// those, made from a machine's own address, could else hold a port that the machine's next process
// is to listen at.
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
	defaultHighest = 30_000 // if the kernel does not say where its own range begins
	tries          = 100
)

// ErrNoneFree is returned when no row of free ports was found.
var ErrNoneFree = errors.New("no free ports below the kernel's own range")

// Row returns the first of some consecutive ports that are free on 127.0.0.1.
func FreeRange(count int) (first int, err error) {
	highest := kernelRangeBegin() - count
	if highest <= lowest {
		return 0, ErrNoneFree
	}
	for range tries {
		first = lowest + rand.IntN(highest-lowest)
		if free(first, count) {
			return first, nil
		}
	}
	return 0, ErrNoneFree
}

// kernelRangeBegin is the lowest port that the kernel gives to outgoing connections.
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
