package locality

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"mustardreach.example/mustardreach/internal/connection/worker"
)

func cores(count int64) worker.Size {
	return worker.Size{
		MilliCores: 1000 * count,
	}
}

func anyWorker(string) bool {
	return true
}

// busyRack has two workers of four cores, which become free after one and two
// seconds and after three.
func busyRack() *Forecast {
	return NewForecast([]Place{
		{
			Worker: "w0",
			Changes: []Change{
				{
					After: 2 * time.Second,
					Size:  cores(2),
				},
				{
					After: time.Second,
					Size:  cores(2),
				},
			},
		},
		{
			Worker: "w1",
			Changes: []Change{
				{
					After: 3 * time.Second,
					Size:  cores(4),
				},
			},
		},
	})
}

// Guards against forecasts that leave out tasks ahead, which made all tasks wait
// for the same place.
func TestEarliest(t *testing.T) {
	tests := map[string]struct {
		ahead   int
		size    int64
		allowed func(string) bool
		want    time.Duration
	}{
		"first place": {
			size: 2,
			want: time.Second,
		},
		"one task ahead": {
			ahead: 1,
			size:  2,
			want:  2 * time.Second,
		},
		"three tasks ahead: second half of the other worker": {
			ahead: 3,
			size:  2,
			want:  3 * time.Second,
		},
		"four tasks ahead: after the first of them": {
			ahead: 4,
			size:  2,
			want:  11 * time.Second,
		},
		"large task": {
			size: 4,
			want: 2 * time.Second,
		},
		"large task does not delay the one ahead": {
			ahead: 1,
			size:  4,
			want:  3 * time.Second,
		},
		"first worker not allowed": {
			size:    2,
			allowed: func(name string) bool { return name == "w1" },
			want:    3 * time.Second,
		},
		"larger than any worker": {
			size: 5,
			want: Never,
		},
		"no worker allowed": {
			size:    2,
			allowed: func(string) bool { return false },
			want:    Never,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			forecast := busyRack()
			for range tt.ahead {
				worker, after := forecast.Earliest(cores(2), anyWorker)
				forecast.Take(worker, cores(2), after, 10*time.Second)
			}
			allowed := tt.allowed
			if allowed == nil {
				allowed = anyWorker
			}
			_, after := forecast.Earliest(cores(tt.size), allowed)
			assert.Equal(t, tt.want, after)
		})
	}
}

// Guards against groups that are expected on a rack which holds only a part of
// them, and against a second group that is expected in the place of the first.
func TestEarliestGroup(t *testing.T) {
	tests := map[string]struct {
		count, spread int
		want          time.Duration
		wantNext      time.Duration
	}{
		"fits on the first worker": {
			count:    2,
			want:     2 * time.Second,
			wantNext: 3 * time.Second,
		},
		"needs both workers": {
			count:    4,
			want:     3 * time.Second,
			wantNext: 13 * time.Second,
		},
		"one on each worker": {
			count:    2,
			spread:   1,
			want:     3 * time.Second,
			wantNext: 3 * time.Second,
		},
		"too wide for the rack": {
			count:    5,
			want:     Never,
			wantNext: Never,
		},
		"too wide for the spread": {
			count:    3,
			spread:   1,
			want:     Never,
			wantNext: Never,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			forecast := busyRack()
			group := func(take bool) time.Duration {
				return forecast.EarliestGroup(cores(2), tt.count, tt.spread, 10*time.Second, anyWorker, take)
			}
			assert.Equal(t, tt.want, group(false))
			assert.Equal(t, tt.want, group(true), "a query changes nothing")
			assert.Equal(t, tt.wantNext, group(true))
		})
	}
}
