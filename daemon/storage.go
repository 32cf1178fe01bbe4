package daemon

import (
	"context"

	"github.com/kingcupknot/kingcupknot/node"
	"github.com/kingcupknot/kingcupknot/quorum"
)

// writeQueueLength is how many writes may wait for the disk before the reducer
// blocks.
const writeQueueLength = 4096

// batchWriter makes the writes of the consensus protocol durable, and combines
// the writes that are queued at the same time into one sync.
type batchWriter struct {
	store   func([]quorum.Write) error
	feed    func(node.Input)
	onError func(error)
	queue   chan node.Persist
}

func newBatchWriter(store func([]quorum.Write) error, feed func(node.Input), onError func(error)) *batchWriter {
	return &batchWriter{store: store, feed: feed, onError: onError, queue: make(chan node.Persist, writeQueueLength)}
}

// run stores queued writes until the context ends. A failed write ends the
// process, since the process must not acknowledge anything that is not durable.
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
