package standin

import "context"

// transaction returns the open transaction. If there is none, it begins an
// implicit transaction, which ends with the statement or the pipeline.
func (c *conn) transaction() *txn {
	if c.txn == nil {
		c.txn = c.server.store.begin(c.vars["default_transaction_read_only"] == "on")
	}
	return c.txn
}

// writeRow locks the row of a change and calls modify with the row's current
// value and whether the row exists. The store's mutex is held during the call.
// If the transaction is read-only, the error names the command.
func (c *conn) writeRow(
	ctx context.Context, command string, ch change, modify func(t *txn, old string, exists bool) error,
) error {
	t := c.transaction()
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	if err := t.checkWritable(command); err != nil {
		return err
	}
	id := rowID{ch.Table, ch.Key}
	if err := t.lockRow(ctx, id, c.releaseSlot, func() error { return c.acquireSlot(ctx) }); err != nil {
		return err
	}
	old, exists := t.get(id)
	return modify(t, old, exists)
}

// row returns a list with the row's pair of key and value, or nil if the row
// does not exist.
func (c *conn) row(table, key string) [][]string {
	t := c.transaction()
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	v, ok := t.get(rowID{table, key})
	if !ok {
		return nil
	}
	return [][]string{{key, v}}
}

// rows returns the pairs of key and value of all rows in a table, ordered by
// key.
func (c *conn) rows(table string) [][]string {
	t := c.transaction()
	t.store.mu.Lock()
	rows := t.rows(table)
	t.store.mu.Unlock()
	var out [][]string
	for _, k := range sortedKeys(rows) {
		out = append(out, []string{k, rows[k]})
	}
	return out
}

func (c *conn) tableKeys(table string) []string {
	t := c.transaction()
	t.store.mu.Lock()
	rows := t.rows(table)
	t.store.mu.Unlock()
	return sortedKeys(rows)
}

// commitImplicit commits the open transaction if it was begun without BEGIN.
func (c *conn) commitImplicit() error {
	t := c.txn
	if c.inBlock || t == nil {
		return nil
	}
	c.txn = nil
	return t.commit()
}

// abort rolls back the open transaction after an error. Within a block, later
// statements then fail until the block ends.
func (c *conn) abort() {
	if c.txn != nil {
		c.txn.rollback()
		c.txn = nil
	}
	c.blockFailed = c.inBlock
}

func (c *conn) acquireSlot(ctx context.Context) error {
	if err := c.server.slots.acquire(ctx); err != nil {
		return err
	}
	c.hasSlot = true
	return nil
}

func (c *conn) releaseSlot() {
	if c.hasSlot {
		c.server.slots.release()
		c.hasSlot = false
	}
}
