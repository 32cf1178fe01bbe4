package daemon

import (
	"context"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/quorum"
)

// writeQueueLength is how many writes wait for the disk before the reducer waits.
const writeQueueLength = 4096

// batchWriter stores what the agreement must remember, several writes to one sync.
type batchWriter struct {
	store   func([]quorum.Write) error
	feed    func(node.Input)
	onError func(error)
	queue   chan node.Persist
}

func newBatchWriter(store func([]quorum.Write) error, feed func(node.Input), failed func(error)) *batchWriter {
	return &batchWriter{store: store, feed: feed, onError: failed, queue: make(chan node.Persist, writeQueueLength)}
}

// run stores until the context ends. A write that fails ends the process,
// since nothing may be promised any more.
func (w *batchWriter) run(ctx context.Context) {
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
				w.onError(err)
				return
			}
			w.feed(node.Persisted{Token: last})
		}
	}
}
