package buffer

// Spare returns the number of buffers that wait for an answer.
func (p *Pool) Spare() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.spare)
}
