package schedule

const (
	// jobMemoryShare is the share of a host's memory for the jobs of all shards
	// that it leads.
	jobMemoryShare = 0.3
	// maxJobBytes bounds it on hosts with much memory, since any host of the fleet
	// may have to take the jobs over.
	maxJobBytes = 64 << 20
)

// JobBytes returns the memory for jobs at a host with the given memory; zero means
// that there is no setting.
func JobBytes(memory int64) int64 {
	if memory <= 0 {
		return maxJobBytes
	}
	return min(maxJobBytes, int64(jobMemoryShare*float64(memory)))
}

// Bytes estimates the memory of all jobs on the board.
func (b *Board) Bytes() int64 {
	return b.bytes
}

// keepJob adds a job to the board.
func (b *Board) keepJob(j *job) {
	b.dropJob(j.work.ID)
	b.jobs[j.work.ID] = j
	b.bytes += j.work.Bytes()
}

// dropJob removes a job from the board.
func (b *Board) dropJob(id string) {
	if j := b.jobs[id]; j != nil {
		b.bytes -= j.work.Bytes()
		delete(b.jobs, id)
	}
}
