package app

// This file reads the platform's configuration. Values that the file lacks come from the
// platform's environment variables only; there are no other defaults.

import (
	"errors"
	"fmt"
	"net"
	"os"
	"strconv"
	"time"

	"github.com/tidwall/gjson"

	"saddleport/choice"
	"saddleport/internal/downstream"
	"saddleport/internal/exchange"
	"saddleport/internal/settings"
	"saddleport/internal/source/targets"
)

// Config is the configuration that the platform gives a proxy.
type Config struct {
	path                    string
	env                     func(string) string
	name, listen, discovery string
	seed                    uint64
	cores                   float64
	memoryMB, sockets       int
	settings                settings.Settings
	known                   choice.List // the servers known at the start; none if the file has no list
	knownAddrs              targets.Addrs
	clientLimits            downstream.Limits
	connGrace               time.Duration // how long client connections stay open after SIGTERM
	pollTimeout             time.Duration // set by tests: timeout of a poll of the agent that pushes lists; 0: the default
	operator                string        // path of the operator file; empty if there is none
}

// Load reads the configuration. The platform's environment variables, which env returns, replace
// the name and addresses that the file lacks.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, errors.New("no configuration: give --config or BALANCER_CONFIG")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	cfg, err := decode(text, env)
	if err == nil {
		cfg.path, cfg.env = path, env
	}
	return cfg, err
}

// decode decodes and validates the text of a configuration.
func decode(text []byte, env func(string) string) (*Config, error) {
	doc := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !doc.IsObject() {
		return nil, errors.New("configuration: not a JSON object")
	}
	setting := func(field, variable string) string {
		if v := doc.Get(field); v.Exists() {
			return v.String()
		}
		return env(variable)
	}
	cfg := &Config{clientLimits: downstream.DefaultLimits, connGrace: defaultConnGrace, name: setting("name", "BALANCER_NAME"), listen: setting("listen", "BALANCER_LISTEN"),
		discovery: setting("discovery", "BALANCER_DISCOVERY")}
	for _, address := range []struct{ field, addr string }{{"listen", cfg.listen}, {"discovery", cfg.discovery}} {
		if _, _, err := net.SplitHostPort(address.addr); err != nil {
			return nil, &settings.FieldError{Path: address.field, Problem: fmt.Sprintf("%q is not an address", address.addr)}
		}
	}
	var err error
	if cfg.seed, err = strconv.ParseUint(doc.Get("seed").String(), 16, 64); err != nil {
		return nil, &settings.FieldError{Path: "seed", Problem: "not 16 hex digits"}
	}
	number := func(path string, lowest, highest float64) float64 {
		v := doc.Get(path)
		if err == nil && (v.Type != gjson.Number || v.Num < lowest || v.Num > highest) {
			err = &settings.FieldError{Path: path, Problem: fmt.Sprintf("%q is not a number within %v to %v", v.Raw, lowest, highest)}
		}
		return v.Num
	}
	cfg.cores = number("limits.cores", 0.01, 1024)
	cfg.memoryMB = int(number("limits.memory_mb", 16, 1<<20))
	cfg.sockets = int(number("limits.sockets", reservedFiles+2*serverConnsDivisor, 1<<20))
	if err != nil {
		return nil, err
	}
	if !doc.Get("settings").IsObject() {
		return nil, &settings.FieldError{Path: "settings", Problem: "not an object"}
	}
	if cfg.settings, err = settings.Decode(settings.Flatten(doc.Get("settings"))); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if list := doc.Get("known"); list.Type != gjson.Null { // neither absent nor null
		if cfg.known, cfg.knownAddrs, err = targets.Parse([]byte(list.Raw), cfg.settings.Router.Cells, true); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	cfg.known.Form = choice.Cached
	return cfg, nil
}

// Summary returns a line that describes the configuration.
func (c *Config) Summary() string {
	return fmt.Sprintf("name=%s listen=%s discovery=%s classes=%d known=%d", c.name, c.listen, c.discovery,
		len(c.settings.Router.Classes), len(c.known.Servers))
}

// Check returns an error if a proxy could not run with the configuration.
func (c *Config) Check() error {
	_, err := exchange.New(c.seed, c.settings)
	return err
}
