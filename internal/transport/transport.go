// Package transport opens the TCP connections between the system's processes and to its servers.
// A peer may become unresponsive without closing its connection, so the package sets the kernel's
// timeouts on each connection: no process may wait for a peer without a bound.
package transport

import (
	"context"
	"net"
	"syscall"
	"time"
)

const (
	userTimeout  = 0x12            // TCP_USER_TIMEOUT
	ackTimeout   = 2 * time.Second // sent bytes that the peer has not acknowledged after this time end the connection
	keepIdle     = 5 * time.Second
	keepInterval = time.Second
	keepCount    = 3
)

// control returns a function that makes the kernel end a connection whose sent bytes the peer has not
// acknowledged within a timeout.
func control(timeout time.Duration) func(network, address string, c syscall.RawConn) error {
	return func(_, _ string, c syscall.RawConn) error {
		return c.Control(func(fd uintptr) {
			syscall.SetsockoptInt(int(fd), syscall.IPPROTO_TCP, userTimeout, int(timeout.Milliseconds()))
		})
	}
}

// keepAlive is the configuration of keep-alive probes: an idle connection whose peer answers none of
// them is closed.
var keepAlive = net.KeepAliveConfig{Enable: true, Idle: keepIdle, Interval: keepInterval, Count: keepCount}

// Dialer returns a dialer whose attempts fail after a timeout and whose connections detect an
// unresponsive peer.
func Dialer(timeout time.Duration) *net.Dialer {
	return &net.Dialer{Timeout: timeout, Control: control(ackTimeout), KeepAliveConfig: keepAlive}
}

// LimitSendBuffer limits the kernel's send buffer of each connection that a listener accepts. If the
// peer reads slowly, the writer is then blocked and can notice it, instead of unread bytes filling
// memory. Listeners other than TCP listeners are left unchanged.
func LimitSendBuffer(ln net.Listener, bytes int) {
	if tcp, ok := ln.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			raw.Control(func(fd uintptr) { syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, bytes) })
		}
	}
}

// Listen listens on a TCP address (IPv4) for connections that detect an unresponsive peer. After a
// restart the previous process may still occupy the address for a moment, so Listen tries for 5 s
// before it returns the error.
func Listen(ctx context.Context, addr string) (net.Listener, error) {
	cfg := net.ListenConfig{Control: control(ackTimeout), KeepAliveConfig: keepAlive}
	for deadline := time.Now().Add(5 * time.Second); ; {
		ln, err := cfg.Listen(ctx, "tcp4", addr)
		if err == nil || time.Now().After(deadline) || ctx.Err() != nil {
			return ln, err
		}
		select {
		case <-ctx.Done():
		case <-time.After(50 * time.Millisecond):
		}
	}
}
