// Package layout contains tests that check the layering of the packages by their imports. It has
// no other code.
package layout
