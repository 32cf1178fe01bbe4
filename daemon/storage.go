package daemon

import (
	"context"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/quorum"
)

// writeQueue is how many writes wait for the disk before the reducer waits.
const writeQueue = 4096

// writer stores what the agreement must remember, several writes to one sync.
type writer struct {
	store  func([]quorum.Write) error
	feed   func(node.Input)
	failed func(error)
	queue  chan node.Persist
}

func newWriter(store func([]quorum.Write) error, feed func(node.Input), failed func(error)) *writer {
	return &writer{store: store, feed: feed, failed: failed, queue: make(chan node.Persist, writeQueue)}
}

// run stores until the context ends. A write that fails ends the process,
// since nothing may be promised any more.
func (w *writer) run(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case p := <-w.queue:
			batch := []quorum.Write{p.Write}
			last := p.Token
			for more := true; more; {
				select {
				case p = <-w.queue:
					batch, last = append(batch, p.Write), p.Token
				default:
					more = false
				}
			}
			if err := w.store(batch); err != nil {
				w.failed(err)
				return
			}
			w.feed(node.Persisted{Token: last})
		}
	}
}
