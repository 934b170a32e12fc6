// Package layout holds the tree to its layering: its tests read the import graph. It has no
// code of its own.
package layout
