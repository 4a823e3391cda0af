package leader

// recordRestarts records the times that long-running tasks took to start again.
func (t *term) recordRestarts() {
	for _, took := range t.leader.board.Restarts() {
		t.leader.config.RecordDuration("restart", took)
	}
}
