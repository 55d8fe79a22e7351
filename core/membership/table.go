package membership

import (
	"maps"
	"slices"
)

// shardCount is the number of shards of an index by incarnation. A change
// copies one shard, about 150 of 9,600 members, instead of the whole index.
const shardCount = 64

// shardedMap is an index by incarnation that is split into shards.
type shardedMap[V any] [shardCount]map[uint64]V

// shardOf returns the shard of an incarnation. Incarnations are random numbers,
// so their high bits distribute them evenly.
func shardOf(incarnation uint64) int {
	return int(incarnation>>32) % shardCount
}

func (p *shardedMap[V]) get(incarnation uint64) (V, bool) {
	v, ok := p[shardOf(incarnation)][incarnation]
	return v, ok
}

// cowIndex is a copy-on-write index by incarnation. It copies a shard that a
// snapshot may share before it changes that shard.
type cowIndex[V any] struct {
	shardedMap[V]
	owned [shardCount]bool
}

func (x *cowIndex[V]) writableShard(incarnation uint64) map[uint64]V {
	i := shardOf(incarnation)
	if !x.owned[i] {
		x.shardedMap[i] = maps.Clone(x.shardedMap[i])
		x.owned[i] = true
	}
	if x.shardedMap[i] == nil {
		x.shardedMap[i] = map[uint64]V{}
	}
	return x.shardedMap[i]
}

func (x *cowIndex[V]) put(incarnation uint64, v V) { x.writableShard(incarnation)[incarnation] = v }

func (x *cowIndex[V]) remove(incarnation uint64) { delete(x.writableShard(incarnation), incarnation) }

// snapshot returns the current content for a snapshot. From then on, the next
// change of each shard copies it first.
func (x *cowIndex[V]) snapshot() shardedMap[V] {
	x.owned = [shardCount]bool{}
	return x.shardedMap
}

// memberLists is a copy-on-write index that holds lists of members by the name
// of a service or zone. Each list is ordered by incarnation, so that equal
// states have equal lists. A list that a snapshot may share is copied before it
// is changed.
type memberLists struct {
	byName map[string][]*Member
	owned  map[string]struct{}
}

func newMemberLists() memberLists {
	return memberLists{byName: map[string][]*Member{}, owned: map[string]struct{}{}}
}

func (l *memberLists) put(name string, m *Member) {
	list := l.writable(name)
	at, _ := slices.BinarySearchFunc(list, m.Incarnation, compareIncarnation)
	l.byName[name] = slices.Insert(list, at, m)
}

func (l *memberLists) remove(name string, m *Member) {
	list := l.writable(name)
	at, found := slices.BinarySearchFunc(list, m.Incarnation, compareIncarnation)
	if found {
		list = slices.Delete(list, at, at+1)
	}
	if len(list) == 0 {
		delete(l.byName, name)
		return
	}
	l.byName[name] = list
}

func (l *memberLists) writable(name string) []*Member {
	list := l.byName[name]
	if _, owned := l.owned[name]; owned {
		return list
	}
	l.owned[name] = struct{}{}
	return slices.Clone(list)
}

// snapshot returns the current lists for a snapshot. From then on, the next
// change of each list copies it first.
func (l *memberLists) snapshot() map[string][]*Member {
	clear(l.owned)
	return maps.Clone(l.byName)
}

// table indexes the members by incarnation, service and zone.
type table struct {
	count    int
	members  cowIndex[*Member]
	services memberLists
	zones    memberLists
}

func newTable() table {
	return table{services: newMemberLists(), zones: newMemberLists()}
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

func compareIncarnation(m *Member, incarnation uint64) int {
	if m.Incarnation < incarnation {
		return -1
	}
	if m.Incarnation > incarnation {
		return 1
	}
	return 0
}

// all returns all members, ordered by incarnation.
func (t *table) all() []*Member {
	list := make([]*Member, 0, t.count)
	for _, shard := range t.members.shardedMap {
		for _, m := range shard {
			list = append(list, m)
		}
	}
	slices.SortFunc(list, func(a, b *Member) int { return compareIncarnation(a, b.Incarnation) })
	return list
}
