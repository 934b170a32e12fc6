package testcluster

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"

	"github.com/spf13/cobra"
)

const (
	demoOpenFiles = 330 // file descriptors of each process
	demoServers   = 4   // servers of each shard
	demoWork      = 15 * time.Millisecond
	demoBody      = 160 // bytes of a shard's response
	longBody      = 900 << 10
)

// demoServices returns the services in the configuration of the demo and of the dispatch measurement.
func demoServices() []Service {
	services := []Service{{Name: "long", Servers: 3, Work: time.Millisecond, Body: longBody}}
	for _, shard := range shards {
		services = append(services, Service{Name: shard, Servers: demoServers, Work: demoWork, Body: demoBody})
	}
	return services
}

// DemoCommand returns the command line that starts a small fleet for manual use.
func DemoCommand() *cobra.Command {
	proxies, length, programs := 2, time.Duration(0), ""
	cmd := &cobra.Command{Use: "demo", Short: "Start a small fleet on loopback: three control-plane machines, proxies with their agents, stand-in servers", Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if proxies < 1 || proxies > 9 {
				return fmt.Errorf("--proxies: %d is not between 1 and 9", proxies)
			}
			signal.Ignore(syscall.SIGPIPE) // a reader that leaves, such as head, must not keep the fleet from being ended
			ctx, stop := signal.NotifyContext(c.Context(), syscall.SIGINT, syscall.SIGTERM)
			defer stop()
			if length > 0 {
				var cancel context.CancelFunc
				ctx, cancel = context.WithTimeout(ctx, length)
				defer cancel()
			}
			return demo(ctx, c.OutOrStdout(), programs, proxies)
		}}
	flags := cmd.Flags()
	flags.IntVar(&proxies, "proxies", proxies, "proxies, each with its agent")
	flags.DurationVar(&length, "length", length, "duration of the demo; 0: until it is interrupted")
	flags.StringVar(&programs, "programs", programs, "directory of the built programs; default: that of this program")
	return cmd
}

// demo runs a fleet until ctx ends, and prints commands to use it.
func demo(ctx context.Context, out io.Writer, programs string, proxies int) error {
	if programs == "" {
		self, err := os.Executable()
		if err != nil {
			return err
		}
		programs = filepath.Dir(self)
	}
	cluster, err := Start(programs, proxies, demoOpenFiles, true, demoServices(), dispatchConfig, 1)
	if err != nil {
		return err
	}
	defer cluster.Close()
	fmt.Fprintf(out, "running: 3 control-plane machines, %d proxies, %d servers\n\n", proxies, len(cluster.servers))
	fmt.Fprintf(out, "send a request:  curl -i -H 'Host: h' -H 'X-Saddleport-Attempt-Id: 1' -H 'X-Saddleport-Deadline-Ms: 1000' http://%s/all/x\n", cluster.ProxyAddr(0))
	fmt.Fprintf(out, "inspect a proxy: %s show proxy --addr %s\n", filepath.Join(programs, "saddlectl"), cluster.addr(firstProxy, showPort))
	fmt.Fprintf(out, "inspect the control plane: %s show controlplane --addr %s\n", filepath.Join(programs, "saddlectl"), cluster.addr(1, 0))
	<-ctx.Done()
	if errors.Is(ctx.Err(), context.DeadlineExceeded) || errors.Is(ctx.Err(), context.Canceled) {
		return nil
	}
	return ctx.Err()
}
