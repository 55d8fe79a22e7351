package membership

import (
	"maps"
	"slices"
)

// shards is the number of parts of the index by incarnation. One change copies
// one part, 150 members of 9,600, instead of the whole index.
const shards = 64

// parts is an immutable index by incarnation.
type parts[V any] [shards]map[uint64]V

// shardOf spreads incarnations by their high bits; they are random numbers.
func shardOf(incarnation uint64) int {
	return int(incarnation>>32) % shards
}

func (p *parts[V]) get(incarnation uint64) (V, bool) {
	v, ok := p[shardOf(incarnation)][incarnation]
	return v, ok
}

// index is an index by incarnation. It copies a part that a snapshot may share
// before it changes the part.
type index[V any] struct {
	parts[V]
	owned [shards]bool
}

func (x *index[V]) part(incarnation uint64) map[uint64]V {
	i := shardOf(incarnation)
	if !x.owned[i] {
		x.parts[i] = maps.Clone(x.parts[i])
		x.owned[i] = true
	}
	if x.parts[i] == nil {
		x.parts[i] = map[uint64]V{}
	}
	return x.parts[i]
}

func (x *index[V]) put(incarnation uint64, v V) { x.part(incarnation)[incarnation] = v }

func (x *index[V]) remove(incarnation uint64) { delete(x.part(incarnation), incarnation) }

// share returns the index for a snapshot.
func (x *index[V]) share() parts[V] {
	x.owned = [shards]bool{}
	return x.parts
}

// lists holds members by the name of a service or zone, each list in the order
// of incarnations, so that equal states have equal lists. It copies a list that
// a snapshot may share before it changes the list.
type lists struct {
	by    map[string][]*Member
	owned map[string]struct{}
}

func newLists() lists {
	return lists{by: map[string][]*Member{}, owned: map[string]struct{}{}}
}

func (l *lists) put(name string, m *Member) {
	list := l.own(name)
	at, _ := slices.BinarySearchFunc(list, m.Incarnation, byIncarnation)
	l.by[name] = slices.Insert(list, at, m)
}

func (l *lists) remove(name string, m *Member) {
	list := l.own(name)
	at, found := slices.BinarySearchFunc(list, m.Incarnation, byIncarnation)
	if found {
		list = slices.Delete(list, at, at+1)
	}
	if len(list) == 0 {
		delete(l.by, name)
		return
	}
	l.by[name] = list
}

func (l *lists) own(name string) []*Member {
	list := l.by[name]
	if _, owned := l.owned[name]; owned {
		return list
	}
	l.owned[name] = struct{}{}
	return slices.Clone(list)
}

// share returns the lists for a snapshot.
func (l *lists) share() map[string][]*Member {
	clear(l.owned)
	return maps.Clone(l.by)
}

// table indexes the members.
type table struct {
	count    int
	members  index[*Member]
	services lists
	zones    lists
}

func newTable() table {
	return table{services: newLists(), zones: newLists()}
}

func (t *table) put(m *Member) {
	t.count++
	t.members.put(m.Incarnation, m)
	t.services.put(m.Service, m)
	t.zones.put(m.Zone, m)
}

func (t *table) remove(m *Member) {
	t.count--
	t.members.remove(m.Incarnation)
	t.services.remove(m.Service, m)
	t.zones.remove(m.Zone, m)
}

func byIncarnation(m *Member, incarnation uint64) int {
	if m.Incarnation < incarnation {
		return -1
	}
	if m.Incarnation > incarnation {
		return 1
	}
	return 0
}

// all returns every member in the order of incarnations.
func (t *table) all() []*Member {
	list := make([]*Member, 0, t.count)
	for _, part := range t.members.parts {
		for _, m := range part {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *Member) int { return byIncarnation(a, b.Incarnation) })
	return list
}
