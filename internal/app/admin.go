package app

// This file implements the commands counters, version and check-config.

import (
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"runtime/debug"
	"slices"
	"strings"
	"time"

	"saddleport/choice"
	"saddleport/internal/httpwire"
	"saddleport/internal/source/consul"
)

// Counters prints the counters of the proxy that runs with the configuration.
func Counters(w io.Writer, c *Config) error {
	return countersAt(w, c.listen)
}

func countersAt(w io.Writer, addr string) error {
	conn, err := net.DialTimeout("tcp", addr, requestTimeout)
	if err != nil {
		return err
	}
	defer conn.Close()
	conn.SetDeadline(time.Now().Add(requestTimeout))
	if _, err := conn.Write(httpwire.AppendGet(nil, addr, "/-/counters")); err != nil {
		return err
	}
	reader := httpwire.NewReader(conn)
	if err := reader.Await(); err != nil {
		return err
	}
	response, err := reader.Response()
	if err == nil && response.Status != 200 {
		err = fmt.Errorf("GET /-/counters returned status %d", response.Status)
	}
	if err == nil {
		_, err = w.Write(response.Body)
	}
	return err
}

// Version prints the revision and the Go version of this build.
func Version(w io.Writer) error {
	revision, info, ok := "unknown", (*debug.BuildInfo)(nil), false
	if info, ok = debug.ReadBuildInfo(); !ok {
		return errors.New("the program has no build information")
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	_, err := fmt.Fprintf(w, "saddleport revision=%s go=%s\n", revision, info.GoVersion)
	return err
}

// CheckConfig checks the configuration and the operator file, with the hook set and the files
// that they name, and returns the first error. Either path may be empty, but not both. It prints
// a summary; with explain, it prints the settings that change the proxy's behaviour in place of
// the configuration's summary.
func CheckConfig(w io.Writer, config, operator string, explain, asJSON bool) error {
	if config == "" && operator == "" {
		return errors.New("nothing to check: give --config, BALANCER_CONFIG or --operator")
	}
	var classes []choice.Class
	if config != "" {
		cfg, err := Load(config, os.Getenv)
		if err == nil {
			err = cfg.Check()
		}
		if err != nil {
			return err
		}
		classes = cfg.settings.Router.Classes
		switch {
		case explain:
			if err := Explain(w, cfg, asJSON); err != nil {
				return err
			}
		default:
			fmt.Fprintln(w, cfg.Summary())
		}
	}
	if operator == "" {
		return nil
	}
	o, err := LoadOperator(operator)
	if err != nil {
		return err
	}
	hooks := 0
	if o.Hooks.Dir != "" {
		set, err := o.Loader(classes).Load(o.Hooks.Dir)
		if err != nil {
			return err
		}
		hooks = len(set.Hooks)
	}
	if slices.Contains(o.Members.Sources, "consul") || o.Consul.RegisterAs != "" {
		if _, err := consul.New(o.Consul, nil); err != nil { // reads the token and CA files that the section names
			return err
		}
	}
	_, err = fmt.Fprintf(w, "operator=%s hooks=%d sources=%s\n", operator, hooks, strings.Join(o.sourceNames(), ","))
	return err
}
