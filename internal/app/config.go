package app

// This file reads the platform's configuration. It must never fill in what the
// platform does not say but by the platform's own variables.

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

// Config is what the platform tells a mixer.
type Config struct {
	path                    string
	env                     func(string) string
	name, listen, discovery string
	seed                    uint64
	cores                   float64
	memoryMB, sockets       int
	settings                settings.Settings
	known                   choice.List
	addrs                   targets.Addrs
	pace                    downstream.Limits
	stay                    time.Duration
	look                    time.Duration // tests: where lists are pushed, how long an answer may take
	operator                string        // the operator file; empty: none
}

// Load reads the configuration; the platform's variables stand in for what it
// does not say.
func Load(path string, env func(string) string) (*Config, error) {
	if path == "" {
		return nil, errors.New("no configuration: give --config or BALANCER_CONFIG")
	}
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	c, err := decode(text, env)
	if err == nil {
		c.path, c.env = path, env
	}
	return c, err
}

func decode(text []byte, env func(string) string) (*Config, error) {
	doc := gjson.ParseBytes(text)
	if !gjson.ValidBytes(text) || !doc.IsObject() {
		return nil, errors.New("configuration: not a JSON object")
	}
	told := func(field, variable string) string {
		if v := doc.Get(field); v.Exists() {
			return v.String()
		}
		return env(variable)
	}
	c := &Config{pace: downstream.DefaultLimits, stay: stayTime, name: told("name", "BALANCER_NAME"), listen: told("listen", "BALANCER_LISTEN"),
		discovery: told("discovery", "BALANCER_DISCOVERY")}
	for field, addr := range map[string]string{"listen": c.listen, "discovery": c.discovery} {
		if _, _, err := net.SplitHostPort(addr); err != nil {
			return nil, &settings.FieldError{Path: field, Problem: fmt.Sprintf("%q is not an address", addr)}
		}
	}
	var err error
	if c.seed, err = strconv.ParseUint(doc.Get("seed").String(), 16, 64); err != nil {
		return nil, &settings.FieldError{Path: "seed", Problem: "not 16 hex digits"}
	}
	number := func(path string, least, most float64) float64 {
		v := doc.Get(path)
		if err == nil && (v.Type != gjson.Number || v.Num < least || v.Num > most) {
			err = &settings.FieldError{Path: path, Problem: fmt.Sprintf("%q is not a number within %v to %v", v.Raw, least, most)}
		}
		return v.Num
	}
	c.cores = number("limits.cores", 0.01, 1024)
	c.memoryMB = int(number("limits.memory_mb", 16, 1<<20))
	c.sockets = int(number("limits.sockets", spareFiles+2*leafShare, 1<<20))
	if err != nil {
		return nil, err
	}
	if !doc.Get("settings").IsObject() {
		return nil, &settings.FieldError{Path: "settings", Problem: "not an object"}
	}
	if c.settings, err = settings.Decode(settings.Flatten(doc.Get("settings"))); err != nil {
		return nil, fmt.Errorf("settings: %w", err)
	}
	if known := doc.Get("known"); known.Type != gjson.Null { // neither absent nor null
		if c.known, c.addrs, err = targets.Parse([]byte(known.Raw), c.settings.Router.Cells, true); err != nil {
			return nil, fmt.Errorf("known: %w", err)
		}
	}
	c.known.Form = choice.Cached
	return c, nil
}

// Summary is one line on what the configuration holds.
func (c *Config) Summary() string {
	return fmt.Sprintf("name=%s listen=%s discovery=%s classes=%d known=%d", c.name, c.listen, c.discovery,
		len(c.settings.Router.Classes), len(c.known.Servers))
}

// Check tells whether a mixer could run on the configuration.
func (c *Config) Check() error {
	_, err := exchange.New(c.seed, c.settings)
	return err
}
