package rank

// SetServed sets the part of the job's work that is running or done. It counts
// as served while the job is on time.
func (c *Candidate) SetServed(part float64) {
	if c.missed {
		return
	}
	for _, counted := range c.tallies {
		counted.served += (part - c.served) * c.weight
	}
	c.served = part
}

// miss counts a job as not served at all: it still waits and can no longer meet
// its objective.
func (c *Candidate) miss() {
	c.SetServed(0)
	c.missed = true
}
