//go:build race

package seek

func init() { raced = true }
