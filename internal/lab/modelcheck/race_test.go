//go:build race

package modelcheck

func init() { raceEnabled = true }
