package dispatch

import (
	"time"

	"k8s.io/klog/v2"

	"mustardreach.example/mustardreach/internal/process/platform"
	"mustardreach.example/mustardreach/internal/request/job"
)

func logWrite(write Write) {
	to := write.To
	attempt, worker, detail := 0, "", ""
	if len(to.Attempts) > 0 {
		last := to.Attempts[len(to.Attempts)-1]
		attempt, worker, detail = last.N, last.Worker, last.Detail
	}
	klog.InfoS("job moves", "job", to.ID, "customer", to.Customer, "class", to.Class, "state", to.State,
		"attempt", attempt, "worker", worker, "zone", to.Zone, "detail", detail)
}

// send starts a write that takes effect only while the fence is in force.
func (l *Loop) send(write Write, authority Authority) {
	writer := &recordWriter{
		loop:      l,
		write:     write,
		authority: authority,
	}
	go writer.run()
}

// recordWriter repeats one write until its result is known or the authority
// under which it was decided has ended. Repeating is safe: the compare on the
// revision lets the write take effect only once.
type recordWriter struct {
	loop      *Loop
	write     Write
	authority Authority
}

func (w *recordWriter) run() {
	for {
		done := make(chan platform.CommitResult, 1)
		w.loop.config.Commit(platform.Commit{
			Txn:  RecordTxn(w.write, w.authority.FenceKey, w.authority.Fence),
			Done: done,
		})
		result := <-done
		if result.Err == nil || !w.authorityHolds() {
			w.loop.events <- writeEvent{
				write:  w.write,
				epoch:  w.authority.Epoch,
				result: result,
			}
			return
		}
		time.Sleep(w.loop.config.Tick)
	}
}

// authorityHolds reports whether the authority under which the write was
// decided is still held.
func (w *recordWriter) authorityHolds() bool {
	authority := w.loop.config.Authority()
	return authority.Epoch == w.authority.Epoch && w.loop.config.Clock().Before(authority.HoldsUntil)
}

// RecordTxn is the transaction that changes a record if its revision has not
// changed and the writer still holds its right. An empty fence key omits the
// check of the right.
func RecordTxn(write Write, fenceKey, fence string) platform.TxnRequest {
	fromKey := write.From.PlatformKey()
	toKey := write.To.PlatformKey()
	txn := platform.TxnRequest{
		Compare: []platform.Compare{platform.KeyAt(fromKey, write.Revision)},
		Success: []platform.Op{platform.Put(toKey, write.To.Encode())},
		Failure: []platform.Op{
			platform.Get(job.ActivePrefix + write.To.ID),
			platform.Get(job.EndedPrefix + write.To.ID),
		},
	}
	if toKey != fromKey {
		txn.Compare = append(txn.Compare, platform.KeyAbsent(toKey))
		txn.Success = append(txn.Success, platform.Op{
			Delete: &platform.DeleteRequest{
				Key: []byte(fromKey),
			},
		})
	}
	if fenceKey != "" {
		txn.Compare = append(txn.Compare, platform.Compare{
			Key:    []byte(fenceKey),
			Target: "VALUE",
			Result: "EQUAL",
			Value:  []byte(fence),
		})
	}
	return txn
}

func (l *Loop) handleWriteResult(got writeEvent, now time.Time) {
	switch {
	case got.result.Err != nil:
		l.planner.Discard(Effects{
			Writes: []Write{got.write},
		})
	case got.result.Response.Succeeded:
		l.planner.Written(got.write, int64(got.result.Response.Header.Revision), now)
	default:
		l.handleConflict(got, now)
	}
}

// handleConflict handles a write that failed its compare. If the stored record
// equals the one to be written, an earlier try took effect although its answer
// was lost.
func (l *Loop) handleConflict(got writeEvent, now time.Time) {
	for _, answer := range got.result.Response.Responses {
		if answer.Range == nil || len(answer.Range.Kvs) == 0 {
			continue
		}
		pair := answer.Range.Kvs[0]
		record, err := job.Decode(pair.Value)
		if err != nil {
			klog.ErrorS(err, "job record cannot be decoded", "key", string(pair.Key))
			continue
		}
		if string(pair.Value) == string(got.write.To.Encode()) {
			l.planner.Written(got.write, int64(pair.ModRevision), now)
			return
		}
		l.config.Counts.Add("conflicts", 1)
		l.planner.Conflicted(got.write, record, int64(pair.ModRevision), now)
		return
	}
	l.planner.Conflicted(got.write, nil, 0, now)
}
