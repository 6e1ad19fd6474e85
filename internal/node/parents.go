package node

import (
	"context"
	"encoding/binary"
	"encoding/hex"
	"math/rand/v2"
	"sync"

	"heathershed/internal/contract"
	"heathershed/internal/contract/retry"
)

// parent is a request that runs at the own upstream, to which sub-calls
// belong. What it carries is kept by the node: the upstream is trusted with
// one header only.
type parent struct {
	ctx    context.Context
	kind   *contract.Kind
	root   contract.RootID
	class  contract.Class
	depth  uint32
	budget *retry.Budget
}

// parentShards spreads the lock.
const parentShards = 16

// parents knows the requests that run at the own upstream, by call id.
type parents struct {
	shards [parentShards]struct {
		sync.Mutex
		running map[uint64]*parent
	}
}

func newParents() *parents {
	p := &parents{}
	for i := range p.shards {
		p.shards[i].running = make(map[uint64]*parent)
	}
	return p
}

// begin registers a request and returns its call id, an unguessable number in
// hexadecimal.
func (p *parents) begin(r *parent) (id uint64, text string) {
	id = rand.Uint64()
	shard := &p.shards[id%parentShards]
	shard.Lock()
	shard.running[id] = r
	shard.Unlock()
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], id)
	return id, hex.EncodeToString(b[:])
}

func (p *parents) end(id uint64) {
	shard := &p.shards[id%parentShards]
	shard.Lock()
	delete(shard.running, id)
	shard.Unlock()
}

// find returns the request that a call id belongs to, or nil where it has
// ended or never was.
func (p *parents) find(text string) *parent {
	b, err := hex.DecodeString(text)
	if err != nil || len(b) != 8 {
		return nil
	}
	id := binary.BigEndian.Uint64(b)
	shard := &p.shards[id%parentShards]
	shard.Lock()
	defer shard.Unlock()
	return shard.running[id]
}
