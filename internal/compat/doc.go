// Package compat holds the fixtures of everything that saddleport stores or sends between
// its own processes, taken from the release before the packages were renamed. Its tests
// read each fixture with the current code and require that the same bytes are written
// again. The package has no code of its own.
package compat
