package placement

import "maps"

// overlayMap is a map by id that shares most of its entries with the map that it was
// copied from: changes are kept in a small overlay over a base that is never modified.
type overlayMap[V any] struct {
	base    map[uint32]V
	overlay map[uint32]V
	deleted map[uint32]bool // ids deleted from the base
	size    int
}

// maxOverlay limits the entries of overlay and deleted together. If there are more, copy
// merges them into a new base.
const maxOverlay = 1024

func (l *overlayMap[V]) get(id uint32) (v V, ok bool) {
	if v, ok = l.overlay[id]; ok {
		return v, true
	}
	if l.deleted[id] {
		return v, false
	}
	v, ok = l.base[id]
	return v, ok
}

// copy returns a copy that can be modified without affecting l.
func (l *overlayMap[V]) copy() overlayMap[V] {
	n := overlayMap[V]{base: l.base, overlay: maps.Clone(l.overlay), deleted: maps.Clone(l.deleted), size: l.size}
	if len(n.overlay)+len(n.deleted) > maxOverlay {
		all := make(map[uint32]V, l.size)
		for id, v := range l.base {
			if !l.deleted[id] {
				all[id] = v
			}
		}
		maps.Copy(all, l.overlay)
		n = overlayMap[V]{base: all, size: l.size}
	}
	if n.overlay == nil {
		n.overlay = make(map[uint32]V)
	}
	if n.deleted == nil {
		n.deleted = make(map[uint32]bool)
	}
	return n
}

func (l *overlayMap[V]) set(id uint32, v V) {
	if _, known := l.get(id); !known {
		l.size++
	}
	l.overlay[id] = v
}

func (l *overlayMap[V]) remove(id uint32) {
	if _, known := l.get(id); !known {
		return
	}
	l.size--
	delete(l.overlay, id)
	if _, inBase := l.base[id]; inBase {
		l.deleted[id] = true
	}
}
