package app

// This file asks a running mixer, and tells which build this is.

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

// Counters asks the mixer that runs on a configuration what it has counted.
func Counters(w io.Writer, c *Config) error {
	return countersAt(w, c.listen)
}

func countersAt(w io.Writer, addr string) error {
	nc, err := net.DialTimeout("tcp", addr, askTime)
	if err != nil {
		return err
	}
	defer nc.Close()
	nc.SetDeadline(time.Now().Add(askTime))
	if _, err := nc.Write(httpwire.AppendGet(nil, addr, "/-/counters")); err != nil {
		return err
	}
	r := httpwire.NewReader(nc)
	if err := r.Await(); err != nil {
		return err
	}
	p, err := r.Response()
	if err == nil && p.Status != 200 {
		err = fmt.Errorf("status %d", p.Status)
	}
	if err == nil {
		_, err = w.Write(p.Body)
	}
	return err
}

// Version writes which build this is.
func Version(w io.Writer) error {
	revision, info, ok := "unknown", (*debug.BuildInfo)(nil), false
	if info, ok = debug.ReadBuildInfo(); !ok {
		return errors.New("no build information")
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			revision = s.Value
		}
	}
	_, err := fmt.Fprintf(w, "saddleport revision=%s go=%s\n", revision, info.GoVersion)
	return err
}

// CheckConfig reads both files and says what is wrong with them. Either may be
// left out, not both.
// explain adds what of a deployment's settings the mixer behaves by.
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
		if _, err := consul.New(o.Consul, nil); err != nil { // the files that it names
			return err
		}
	}
	_, err = fmt.Fprintf(w, "operator=%s hooks=%d sources=%s\n", operator, hooks, strings.Join(o.ranked(), ","))
	return err
}
