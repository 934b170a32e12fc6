//go:build race

package modelcheck

func init() { raced = true }
