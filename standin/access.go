package standin

import "context"

// transaction returns the open transaction, or opens one that ends with the
// statement or the pipeline.
func (c *conn) transaction() *txn {
	if c.txn == nil {
		c.txn = c.server.store.begin(c.vars["default_transaction_read_only"] == "on")
	}
	return c.txn
}

// write locks the row of a change and calls do with its present value.
func (c *conn) write(
	ctx context.Context, what string, ch change, do func(t *txn, old string, there bool) error,
) error {
	t := c.transaction()
	t.store.mu.Lock()
	defer t.store.mu.Unlock()
	if err := t.writable(what); err != nil {
		return err
	}
	id := rowID{ch.Table, ch.Key}
	if err := t.lock(ctx, id, c.giveSlot, func() error { return c.takeSlot(ctx) }); err != nil {
		return err
	}
	old, there := t.get(id)
	return do(t, old, there)
}

// row returns one row as a pair, or nothing.
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

// rows returns a table as pairs, ordered by key.
func (c *conn) rows(table string) [][]string {
	t := c.transaction()
	t.store.mu.Lock()
	rows := t.rows(table)
	t.store.mu.Unlock()
	var out [][]string
	for _, k := range keys(rows) {
		out = append(out, []string{k, rows[k]})
	}
	return out
}

func (c *conn) keys(table string) []string {
	t := c.transaction()
	t.store.mu.Lock()
	rows := t.rows(table)
	t.store.mu.Unlock()
	return keys(rows)
}

// finish ends the transaction that a statement or pipeline opened by itself.
func (c *conn) finish() error {
	t := c.txn
	if c.block || t == nil {
		return nil
	}
	c.txn = nil
	return t.commit()
}

// abort drops what the transaction did after an error.
func (c *conn) abort() {
	if c.txn != nil {
		c.txn.rollback()
		c.txn = nil
	}
	c.failed = c.block
}

func (c *conn) takeSlot(ctx context.Context) error {
	if err := c.server.slots.take(ctx); err != nil {
		return err
	}
	c.holding = true
	return nil
}

func (c *conn) giveSlot() {
	if c.holding {
		c.server.slots.give()
		c.holding = false
	}
}
