package fairqueue

// Clone returns an independent copy of the clock.
func (c *Clock[K]) Clone() *Clock[K] {
	if c == nil {
		return nil
	}
	out := *c
	out.flows, out.order = nil, nil
	if c.flows != nil {
		out.flows = make(map[K]*flow[K], len(c.flows))
	}
	for _, f := range c.order {
		copied := *f
		out.flows[f.key] = &copied
		out.order = append(out.order, &copied)
	}
	return &out
}
