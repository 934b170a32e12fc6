// Package wasm runs hooks that are WebAssembly modules, compiled from any language.
// docs/reference/hooks.md describes the ABI; sdk/guest implements it for Go. The package
// owns the instances of a module and their imports. It must never give a module access to
// a clock, a file, the network or random numbers that the host did not seed, never use an
// instance again after a failed call, and never let an instance exceed its memory limit.
package wasm

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/tetratelabs/wazero"
	"github.com/tetratelabs/wazero/api"
	"github.com/tetratelabs/wazero/imports/wasi_snapshot_preview1"
	"github.com/tetratelabs/wazero/sys"

	"saddleport/internal/hook"
	"saddleport/sdk/hookabi"
)

const (
	pageSize       = 64 << 10
	maxModuleSize  = 16 << 20
	hostModuleName = "saddleport" // the module that hooks import functions from
)

// Engine loads WebAssembly modules. Its zero value is ready to use.
type Engine struct {
	// Fresh makes each call run in a new instance. State that a module keeps then never
	// reaches another query, at the cost of one instance for each call.
	Fresh bool
}

type program struct {
	src      hook.Source
	fresh    bool
	runtime  wazero.Runtime
	compiled wazero.CompiledModule
	idle     chan *instance

	mu           sync.Mutex
	closed       bool
	replacements sync.WaitGroup
	created      uint64 // number of instances created; each instance is seeded with its number
}

type instance struct {
	mod         api.Module
	alloc, call api.Function
	logs        []string
}

// Load implements hook.Engine. It creates one instance for each concurrent call in advance.
func (e *Engine) Load(ctx context.Context, src hook.Source) (hook.Program, error) {
	if len(src.Text) > maxModuleSize {
		return nil, fmt.Errorf("%s: more than %d bytes", src.File, maxModuleSize)
	}
	pages := uint32(src.Memory / pageSize)
	if pages == 0 {
		return nil, fmt.Errorf("%s: a module needs at least %d bytes of memory", src.File, pageSize)
	}
	p := &program{src: src, fresh: e.Fresh, idle: make(chan *instance, src.Calls),
		runtime: wazero.NewRuntimeWithConfig(ctx, wazero.NewRuntimeConfig().WithCloseOnContextDone(true).WithMemoryLimitPages(pages))}
	if err := p.load(ctx); err != nil {
		p.Close()
		return nil, fmt.Errorf("%s: %w", src.File, err)
	}
	return p, nil
}

func (p *program) load(ctx context.Context) error {
	// The language runtimes in the modules need the WASI system calls to start. The calls
	// have no files, arguments or environment variables to offer, and the clock stands still.
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, p.runtime); err != nil {
		return err
	}
	_, err := p.runtime.NewHostModuleBuilder(hostModuleName).NewFunctionBuilder().
		WithFunc(func(ctx context.Context, m api.Module, ptr, size uint32) {
			i, _ := ctx.Value(instanceKey{}).(*instance)
			if i == nil || len(i.logs) >= hookabi.MaxPairs {
				return
			}
			if b, ok := m.Memory().Read(ptr, min(size, hookabi.MaxValue)); ok {
				i.logs = append(i.logs, string(b))
			}
		}).Export("log").Instantiate(ctx)
	if err != nil {
		return err
	}
	text, err := limitDepth(p.src.Text, maxFrameBytes)
	if err != nil {
		return err
	}
	if p.compiled, err = p.runtime.CompileModule(ctx, text); err != nil {
		return err
	}
	for name, want := range map[string][2]int{"hook_abi": {0, 1}, "hook_alloc": {1, 1}, "hook_call": {3, 1}} {
		f, ok := p.compiled.ExportedFunctions()[name]
		if !ok || len(f.ParamTypes()) != want[0] || len(f.ResultTypes()) != want[1] {
			return fmt.Errorf("exports no %s with %d parameters and %d result", name, want[0], want[1])
		}
	}
	if len(p.compiled.ExportedMemories()) == 0 {
		return errors.New("exports no memory")
	}
	for range p.src.Calls {
		i, err := p.newInstance(ctx)
		if err != nil {
			return err
		}
		p.idle <- i
	}
	return nil
}

// instanceKey is the context key of the instance that runs.
type instanceKey struct{}

// newInstance creates an instance, initializes it and checks its ABI version.
func (p *program) newInstance(ctx context.Context) (*instance, error) {
	p.mu.Lock()
	p.created++
	seed := p.created
	p.mu.Unlock()
	i := &instance{}
	mod, err := p.runtime.InstantiateModule(context.WithValue(ctx, instanceKey{}, i), p.compiled, wazero.NewModuleConfig().WithName("").
		WithStartFunctions("_initialize").WithRandSource(&seededReader{rand.New(rand.NewPCG(seed, 0x5add1e))}).
		WithStdout(io.Discard).WithStderr(io.Discard))
	if err != nil {
		return nil, err
	}
	i.mod, i.alloc, i.call = mod, mod.ExportedFunction("hook_alloc"), mod.ExportedFunction("hook_call")
	abi, err := mod.ExportedFunction("hook_abi").Call(ctx)
	if err == nil && abi[0] != hookabi.Version {
		err = fmt.Errorf("built for version %d of the view, not %d", abi[0], hookabi.Version)
	}
	if err != nil {
		mod.Close(context.Background())
		return nil, err
	}
	return i, nil
}

// seededReader is a deterministic source of random bytes.
type seededReader struct{ r *rand.Rand }

func (c *seededReader) Read(b []byte) (int, error) {
	for i := range b {
		b[i] = byte(c.r.Uint32())
	}
	return len(b), nil
}

// Call implements hook.Program.
func (p *program) Call(ctx context.Context, v *hookabi.View) (*hookabi.Result, error) {
	var i *instance
	select {
	case i = <-p.idle:
	default: // a failed instance is still being replaced
		select {
		case i = <-p.idle:
		case <-ctx.Done():
			return nil, hook.Faultf(hook.Busy, "%s: no instance is free", p.src.File)
		}
	}
	i.logs = nil
	r, err := p.run(context.WithValue(ctx, instanceKey{}, i), i, v)
	if err == nil && !p.fresh {
		p.idle <- i
	} else { // its memory may be in any state: replaced in the background, so that the query does not wait
		p.replace(i)
	}
	return r, err
}

func (p *program) run(ctx context.Context, i *instance, v *hookabi.View) (*hookabi.Result, error) {
	b := hookabi.AppendView(nil, v)
	out, err := i.alloc.Call(ctx, uint64(len(b)))
	if err != nil {
		return nil, p.fault(ctx, i, err)
	}
	ptr := uint32(out[0])
	if !i.mod.Memory().Write(ptr, b) {
		return nil, hook.Faultf(hook.Garbage, "%s: hook_alloc returned %d for %d bytes: not in the memory of the module", p.src.File, ptr, len(b))
	}
	if out, err = i.call.Call(ctx, uint64(v.Point), uint64(ptr), uint64(len(b))); err != nil {
		return nil, p.fault(ctx, i, err)
	}
	at, size := uint32(out[0]>>32), uint32(out[0])
	if size == 0 {
		return &hookabi.Result{Log: i.logs}, nil
	}
	if size > hookabi.MaxBytes {
		return nil, hook.Faultf(hook.Garbage, "%s: a result of %d bytes", p.src.File, size)
	}
	encoded, ok := i.mod.Memory().Read(at, size)
	if !ok {
		return nil, hook.Faultf(hook.Garbage, "%s: a result at %d+%d: not in the memory of the module", p.src.File, at, size)
	}
	r, err := hookabi.DecodeResult(encoded)
	if err != nil {
		return nil, hook.Faultf(hook.Garbage, "%s: %v", p.src.File, err)
	}
	r.Log = append(i.logs, r.Log...)
	r.Log = r.Log[:min(len(r.Log), hookabi.MaxPairs)]
	return r, nil
}

// fault returns the Fault for an error of a call.
func (p *program) fault(ctx context.Context, i *instance, err error) *hook.Fault {
	var exit *sys.ExitError
	memoryFull := i.mod.Memory() != nil && int64(i.mod.Memory().Size())+pageSize > p.src.Memory
	switch {
	case errors.As(err, &exit) && (exit.ExitCode() == sys.ExitCodeDeadlineExceeded || exit.ExitCode() == sys.ExitCodeContextCanceled), ctx.Err() != nil:
		return hook.Faultf(hook.Overrun, "%s: time budget exceeded", p.src.File)
	case tooDeep(i.mod):
		return hook.Faultf(hook.Memory, "%s: function calls nested too deeply: frames of more than %d bytes", p.src.File, maxFrameBytes)
	case memoryFull:
		return hook.Faultf(hook.Memory, "%s: out of memory: %v", p.src.File, err)
	case errors.As(err, &exit):
		return hook.Faultf(hook.Thrown, "%s: exited with status %d", p.src.File, exit.ExitCode())
	}
	return hook.Faultf(hook.Thrown, "%s: %v", p.src.File, err)
}

// tooDeep reports whether an instance was stopped because its calls were nested too deeply.
func tooDeep(m api.Module) bool {
	g := m.ExportedGlobal(depthName)
	return g != nil && uint32(g.Get()) > maxFrameBytes
}

// replace closes an instance and creates another one, in the background and with backoff
// until it succeeds.
func (p *program) replace(i *instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		i.mod.Close(context.Background())
		return
	}
	p.replacements.Add(1)
	go func() {
		defer p.replacements.Done()
		i.mod.Close(context.Background())
		for backoff := 10 * time.Millisecond; ; backoff = min(2*backoff, time.Second) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			created, err := p.newInstance(ctx)
			cancel()
			p.mu.Lock()
			closed := p.closed
			p.mu.Unlock()
			if err == nil && !closed {
				p.idle <- created
				return
			}
			if err == nil {
				created.mod.Close(context.Background())
			}
			if closed {
				return
			}
			time.Sleep(backoff)
		}
	}()
}

// Close implements hook.Program. No call may be in progress.
func (p *program) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.replacements.Wait()
	p.runtime.Close(context.Background())
}
