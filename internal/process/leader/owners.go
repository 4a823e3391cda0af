package leader

import "mustardreach.example/mustardreach/internal/request/work"

// owners holds the organisations of the jobs on the board by job. Jobs of no
// organisation are left out, so that it is empty in a deployment without any.
type owners map[string]string

func (o owners) add(job *work.Job) {
	if job.Organisation == "" {
		delete(o, job.ID) // an id may be used again once its job was deleted
		return
	}
	o[job.ID] = job.Organisation
}

func (o owners) remove(id string) {
	delete(o, id)
}
