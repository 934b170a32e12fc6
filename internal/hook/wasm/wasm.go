// Package wasm runs hooks that are WebAssembly modules, in any language that can
// make one; docs/reference/hooks.md has the ABI, sdk/guest the kit for Go. It owns
// the instances and what they may import. It must never give a module a clock, a
// file, the network or chance but what the host seeds, hand a module's failed
// instance to another call, or let one grow past its bound.
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
	page      = 64 << 10
	maxModule = 16 << 20
	hostName  = "saddleport" // the module that hooks import from
)

// Engine loads modules. Its zero value is ready.
type Engine struct {
	// Fresh has each call run in an instance of its own. What a module keeps then
	// never reaches another query, and each call pays for an instance.
	Fresh bool
}

type program struct {
	src      hook.Source
	fresh    bool
	runtime  wazero.Runtime
	compiled wazero.CompiledModule
	idle     chan *instance

	mu      sync.Mutex
	closed  bool
	making  sync.WaitGroup
	numbers uint64
}

type instance struct {
	mod         api.Module
	alloc, call api.Function
	logs        []string
}

// Load implements hook.Engine.
func (e *Engine) Load(ctx context.Context, src hook.Source) (hook.Program, error) {
	if len(src.Text) > maxModule {
		return nil, fmt.Errorf("%s: more than %d bytes", src.File, maxModule)
	}
	pages := uint32(src.Memory / page)
	if pages == 0 {
		return nil, fmt.Errorf("%s: a module needs %d bytes of memory at least", src.File, page)
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
	// The system calls that a language's runtime wants before it runs. There is no
	// file, argument or variable behind them, and the clock stands still.
	if _, err := wasi_snapshot_preview1.Instantiate(ctx, p.runtime); err != nil {
		return err
	}
	_, err := p.runtime.NewHostModuleBuilder(hostName).NewFunctionBuilder().
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
	text, err := bound(p.src.Text, maxFrames)
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
		i, err := p.make(ctx)
		if err != nil {
			return err
		}
		p.idle <- i
	}
	return nil
}

type instanceKey struct{}

// make makes an instance and has it start itself.
func (p *program) make(ctx context.Context) (*instance, error) {
	p.mu.Lock()
	p.numbers++
	seed := p.numbers
	p.mu.Unlock()
	i := &instance{}
	mod, err := p.runtime.InstantiateModule(context.WithValue(ctx, instanceKey{}, i), p.compiled, wazero.NewModuleConfig().WithName("").
		WithStartFunctions("_initialize").WithRandSource(&chance{rand.New(rand.NewPCG(seed, 0x5add1e))}).
		WithStdout(io.Discard).WithStderr(io.Discard))
	if err != nil {
		return nil, err
	}
	i.mod, i.alloc, i.call = mod, mod.ExportedFunction("hook_alloc"), mod.ExportedFunction("hook_call")
	abi, err := mod.ExportedFunction("hook_abi").Call(ctx)
	if err == nil && abi[0] != hookabi.Version {
		err = fmt.Errorf("was built for version %d of the view, not %d", abi[0], hookabi.Version)
	}
	if err != nil {
		mod.Close(context.Background())
		return nil, err
	}
	return i, nil
}

// chance is a seeded source of random bytes.
type chance struct{ r *rand.Rand }

func (c *chance) Read(b []byte) (int, error) {
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
	default: // one that failed is still being replaced
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
	} else { // it may hold anything: a new one takes its place, off the query's time
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
		return nil, hook.Faultf(hook.Garbage, "%s: hook_alloc gave %d for %d bytes: not in its memory", p.src.File, ptr, len(b))
	}
	if out, err = i.call.Call(ctx, uint64(v.Point), uint64(ptr), uint64(len(b))); err != nil {
		return nil, p.fault(ctx, i, err)
	}
	at, size := uint32(out[0]>>32), uint32(out[0])
	if size == 0 {
		return &hookabi.Result{Log: i.logs}, nil
	}
	if size > hookabi.MaxBytes {
		return nil, hook.Faultf(hook.Garbage, "%s: an answer of %d bytes", p.src.File, size)
	}
	answer, ok := i.mod.Memory().Read(at, size)
	if !ok {
		return nil, hook.Faultf(hook.Garbage, "%s: an answer at %d+%d: not in its memory", p.src.File, at, size)
	}
	r, err := hookabi.DecodeResult(answer)
	if err != nil {
		return nil, hook.Faultf(hook.Garbage, "%s: %v", p.src.File, err)
	}
	r.Log = append(i.logs, r.Log...)
	r.Log = r.Log[:min(len(r.Log), hookabi.MaxPairs)]
	return r, nil
}

// fault tells what kind of failure an error is.
func (p *program) fault(ctx context.Context, i *instance, err error) *hook.Fault {
	var exit *sys.ExitError
	full := i.mod.Memory() != nil && int64(i.mod.Memory().Size())+page > p.src.Memory
	switch {
	case errors.As(err, &exit) && (exit.ExitCode() == sys.ExitCodeDeadlineExceeded || exit.ExitCode() == sys.ExitCodeContextCanceled), ctx.Err() != nil:
		return hook.Faultf(hook.Overrun, "%s: time budget exceeded", p.src.File)
	case tooDeep(i.mod):
		return hook.Faultf(hook.Memory, "%s: its calls go too deep: frames of more than %d bytes", p.src.File, maxFrames)
	case full:
		return hook.Faultf(hook.Memory, "%s: its memory is full: %v", p.src.File, err)
	case errors.As(err, &exit):
		return hook.Faultf(hook.Thrown, "%s: exited with %d", p.src.File, exit.ExitCode())
	}
	return hook.Faultf(hook.Thrown, "%s: %v", p.src.File, err)
}

// tooDeep tells whether a module was stopped for its depth.
func tooDeep(m api.Module) bool {
	g := m.ExportedGlobal(depthName)
	return g != nil && uint32(g.Get()) > maxFrames
}

// replace closes an instance and makes another one.
func (p *program) replace(i *instance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		i.mod.Close(context.Background())
		return
	}
	p.making.Add(1)
	go func() {
		defer p.making.Done()
		i.mod.Close(context.Background())
		for pause := 10 * time.Millisecond; ; pause = min(2*pause, time.Second) {
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			now, err := p.make(ctx)
			cancel()
			p.mu.Lock()
			closed := p.closed
			p.mu.Unlock()
			if err == nil && !closed {
				p.idle <- now
				return
			}
			if err == nil {
				now.mod.Close(context.Background())
			}
			if closed {
				return
			}
			time.Sleep(pause)
		}
	}()
}

// Close implements hook.Program. No call may be out.
func (p *program) Close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.making.Wait()
	p.runtime.Close(context.Background())
}
