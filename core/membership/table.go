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

// table indexes the members. Its lists are copied before they change, because
// snapshots share them.
type table struct {
	count    int
	members  index[*Member]
	services map[string][]*Member
	zones    map[string][]*Member
}

func newTable() table {
	return table{services: map[string][]*Member{}, zones: map[string][]*Member{}}
}

func (t *table) put(m *Member) {
	t.count++
	t.members.put(m.Incarnation, m)
	t.services[m.Service] = inserted(t.services[m.Service], m)
	t.zones[m.Zone] = inserted(t.zones[m.Zone], m)
}

func (t *table) remove(m *Member) {
	t.count--
	t.members.remove(m.Incarnation)
	drop(t.services, m.Service, m)
	drop(t.zones, m.Zone, m)
}

// inserted returns a copy with m in the order of incarnations, so that equal
// states have equal lists.
func inserted(list []*Member, m *Member) []*Member {
	at, _ := slices.BinarySearchFunc(list, m.Incarnation, byIncarnation)
	copied := make([]*Member, 0, len(list)+1)
	copied = append(copied, list[:at]...)
	copied = append(copied, m)
	return append(copied, list[at:]...)
}

func drop(lists map[string][]*Member, key string, m *Member) {
	list := lists[key]
	at, found := slices.BinarySearchFunc(list, m.Incarnation, byIncarnation)
	if !found {
		return
	}
	if len(list) == 1 {
		delete(lists, key)
		return
	}
	copied := make([]*Member, 0, len(list)-1)
	copied = append(copied, list[:at]...)
	lists[key] = append(copied, list[at+1:]...)
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
