// Package compat tests that saddleport reads and writes what an earlier release stored or sent between its
// processes. The fixtures were written by the release before the packages were renamed. The tests decode each
// fixture with the current code and require that encoding it again gives the same bytes. The package has only
// tests.
package compat
