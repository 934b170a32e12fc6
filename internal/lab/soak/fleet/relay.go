package fleet

import (
	"context"
	"net"
	"sync"
	"time"
)

// network decides between which machines bytes pass. A cut delays bytes, as an unresponsive network
// does; it neither closes connections nor loses bytes that the kernel has accepted.
type network struct {
	mu      sync.Mutex
	blocked map[string]func(from, to string) bool // by name of the cut
	changed chan struct{}                         // closed at the next change
}

func newNetwork() *network {
	return &network{blocked: make(map[string]func(string, string) bool), changed: make(chan struct{})}
}

// cut adds a cut; heal removes it.
func (n *network) cut(name string, blocks func(from, to string) bool) {
	n.change(func() { n.blocked[name] = blocks })
}

func (n *network) heal(name string) { n.change(func() { delete(n.blocked, name) }) }

func (n *network) change(f func()) {
	n.mu.Lock()
	defer n.mu.Unlock()
	f()
	close(n.changed)
	n.changed = make(chan struct{})
}

// passes reports whether bytes pass in a direction, and returns a channel that is closed at the next
// change of the cuts.
func (n *network) passes(from, to string) (passes bool, changed chan struct{}) {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, blocks := range n.blocked {
		if blocks(from, to) {
			return false, n.changed
		}
	}
	return true, n.changed
}

// waitUntilPasses waits until bytes pass in a direction. It returns false if ctx ends first.
func (n *network) waitUntilPasses(ctx context.Context, from, to string) bool {
	for {
		passes, changed := n.passes(from, to)
		if passes {
			return ctx.Err() == nil
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return false
		}
	}
}

const (
	relayBuffer      = 16 << 10
	relayDialTimeout = time.Second
)

// relay accepts the connections to one machine's address and forwards them to the machine.
type relay struct {
	machine   string
	target    string
	network   *network
	machineAt func(ip string) string // returns the machine with a source address
	listener  net.Listener
	ctx       context.Context
	end       context.CancelFunc
	done      sync.WaitGroup
}

func startRelay(network *network, machine, listen, target string, machineAt func(string) string) (*relay, error) {
	ln, err := net.Listen("tcp4", listen)
	if err != nil {
		return nil, err
	}
	ctx, end := context.WithCancel(context.Background())
	r := &relay{machine: machine, target: target, network: network, machineAt: machineAt, listener: ln, ctx: ctx, end: end}
	r.done.Add(1)
	go r.accept()
	return r, nil
}

func (r *relay) close() {
	r.end()
	r.listener.Close()
	r.done.Wait()
}

func (r *relay) accept() {
	defer r.done.Done()
	for {
		conn, err := r.listener.Accept()
		if err != nil {
			return
		}
		r.done.Add(1)
		go r.forward(conn.(*net.TCPConn))
	}
}

// forward connects a caller's connection to the machine and copies bytes in both directions.
func (r *relay) forward(in *net.TCPConn) {
	defer r.done.Done()
	stop := context.AfterFunc(r.ctx, func() { in.Close() })
	defer stop()
	defer in.Close()
	host, _, _ := net.SplitHostPort(in.RemoteAddr().String())
	caller := r.machineAt(host)
	if !r.network.waitUntilPasses(r.ctx, caller, r.machine) {
		return
	}
	conn, err := (&net.Dialer{Timeout: relayDialTimeout}).DialContext(r.ctx, "tcp4", r.target)
	if err != nil {
		in.SetLinger(0) // a reset, as from a port without a listener
		return
	}
	out := conn.(*net.TCPConn)
	defer out.Close()
	stopOut := context.AfterFunc(r.ctx, func() { out.Close() })
	defer stopOut()
	responsesDone := make(chan struct{})
	go func() { defer close(responsesDone); r.copy(in, out, r.machine, caller) }()
	r.copy(out, in, caller, r.machine)
	<-responsesDone
}

// copy copies bytes in one direction until either side ends.
func (r *relay) copy(to, from *net.TCPConn, source, target string) {
	buffer := make([]byte, relayBuffer)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			if !r.network.waitUntilPasses(r.ctx, source, target) {
				break
			}
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	to.CloseWrite()
	from.CloseRead()
}
