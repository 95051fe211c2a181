package cache

// scopeTable interns scopes and counts the entries that refer to each.
type scopeTable struct {
	ids      map[Scope]uint32
	byID     []scopeState
	freeList []uint32
}

type scopeState struct {
	scope      Scope
	references int
}

// intern returns the scope's ID. The caller must insert an entry under a new ID, which retains it; otherwise the ID is never freed.
func (t *scopeTable) intern(scope Scope) uint32 {
	if id, ok := t.ids[scope]; ok {
		return id
	}
	var id uint32
	if n := len(t.freeList); n > 0 {
		id, t.freeList = t.freeList[n-1], t.freeList[:n-1]
	} else {
		id = uint32(len(t.byID))
		t.byID = append(t.byID, scopeState{})
	}
	t.byID[id] = scopeState{scope: scope}
	t.ids[scope] = id
	return id
}

func (t *scopeTable) retain(id uint32) { t.byID[id].references++ }

func (t *scopeTable) release(id uint32) {
	t.byID[id].references--
	t.removeUnused(id)
}

// removeUnused removes the scope and frees its ID if no entry refers to it.
func (t *scopeTable) removeUnused(id uint32) {
	if t.byID[id].references == 0 {
		delete(t.ids, t.byID[id].scope)
		t.byID[id] = scopeState{}
		t.freeList = append(t.freeList, id)
	}
}
