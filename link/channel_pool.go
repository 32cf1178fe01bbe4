package link

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"github.com/kingcupknot/kingcupknot/catalog"
)

// ChannelPool keeps one channel to each peer to which this process sends
// requests.
type ChannelPool struct {
	hub   *Hub
	mutex sync.Mutex
	peers map[catalog.VMID]*peerChannel
}

// peerChannel is the channel to one peer. The mutex is held while the channel
// is opened or checked.
type peerChannel struct {
	mutex   sync.Mutex
	channel *Channel
	// lastFailure is when the last attempt to open the channel failed.
	lastFailure time.Time
}

// NewChannelPool returns an empty pool whose channels are opened through a hub.
func NewChannelPool(h *Hub) *ChannelPool {
	return &ChannelPool{hub: h, peers: map[catalog.VMID]*peerChannel{}}
}

// Get returns the channel to a peer, and opens one if there is none or the
// present one has failed. It returns an error if the peer is unreachable.
func (p *ChannelPool) Get(to catalog.VMID) (*Channel, error) {
	p.mutex.Lock()
	peer := p.peers[to]
	if peer == nil {
		peer = &peerChannel{}
		p.peers[to] = peer
	}
	p.mutex.Unlock()
	peer.mutex.Lock()
	defer peer.mutex.Unlock()
	if c := peer.channel; c != nil && !c.isClosed() && (c.idleTime() < idleCheckAfter || c.isAlive()) {
		return c, nil
	}
	if time.Since(peer.lastFailure) < channelDialTimeout {
		// Without this check, the goroutines that waited for the mutex during
		// the failed attempt would each make another attempt in turn.
		return nil, errors.Trace(ErrNotSent)
	}
	ctx, cancel := context.WithTimeout(p.hub.context, channelDialTimeout)
	defer cancel()
	s, err := p.hub.dial(ctx, to, ChannelPath)
	if err != nil {
		peer.lastFailure = time.Now()
		return nil, err
	}
	peer.channel = p.hub.newChannel(s, to)
	go peer.channel.receive(p.hub.context, peer.channel.deliverReply)
	return peer.channel, nil
}
