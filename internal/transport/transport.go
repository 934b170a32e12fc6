// Package transport is TCP between the system's processes and to its servers: connections
// whose peer may fall silent without notice. It owns their time-outs at the kernel. It
// must never wait for a peer without a bound.
package transport

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	userTimeout  = 0x12 // TCP_USER_TIMEOUT
	silence      = 2 * time.Second
	keepIdle     = 5 * time.Second
	keepInterval = time.Second
	keepCount    = 3
)

// control has the kernel end a connection whose bytes nobody acknowledges.
func control(span time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(span.Milliseconds()))
		})
	}
}

var keep = net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount}

// Dialer opens connections that come up within a time and notice a silent peer.
func Dialer(within time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: within, Control: control(silence), KeepAliveConfig: keep}
}

// LimitSendBuffer has a listener's connections keep at most so many bytes that their peers have not
// taken: a peer that reads slowly then holds up the writer, who sees it, and not memory.
func LimitSendBuffer(ln net.Listener, bytes int) {
	if tcp, is := ln.(*net.TCPListener); is {
		if raw, err := tcp.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bytes) })
		}
	}
}

// Listen takes an address for connections that notice a silent peer. After a restart the
// process before may hold it for a moment yet: it is tried for a while.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: control(silence), KeepAliveConfig: keep}
	for until := time.Now().Add(5 * time.Second); ; {
		ln, err := cfg.Listen(ctx, "tcp4", addr)
		if err == nil || time.Now().After(until) || ctx.Err() != nil {
			return ln, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}
