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

// parent is a request that runs at the local upstream and to which nested calls
// belong. The node keeps this state; the upstream is trusted only to return the
// call id in one header.
type parent struct {
	ctx    context.Context
	kind   *contract.Kind
	root   contract.RootID
	class  contract.Class
	depth  uint32
	budget *retry.Budget
}

// parentShards is the number of lock shards.
const parentShards = 16

// parents indexes the requests that run at the local upstream by call id.
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

// begin registers a request and returns its call id and the hexadecimal form of
// it that the upstream receives. The id is an unguessable random number, so
// that a call can't be attached to a request by guessing.
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

// find returns the request of a call id, or nil if it has ended or the id is
// unknown.
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
