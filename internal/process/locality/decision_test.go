package locality

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// Guards against waits that cost more than they save, and against starts
// elsewhere while a place on the preferred rack is about to come free. The run
// takes 1 s on the preferred rack and 2 s elsewhere unless stated.
func TestWorthwhileAtItsBorders(t *testing.T) {
	const far = time.Hour // slack that bounds nothing
	tests := map[string]struct {
		wait Wait
		want time.Duration
	}{
		"place free at once": {
			wait: Wait{
				Slack: far,
			},
			want: time.Second,
		},
		"wait just shorter than the loss": {
			wait: Wait{
				Near:  time.Second - 1,
				Slack: far,
			},
			want: time.Second,
		},
		"wait as long as the loss": {
			wait: Wait{
				Near:  time.Second,
				Slack: far,
			},
		},
		"rack cannot become free": {
			wait: Wait{
				Near:  Never,
				Slack: far,
				Float: far,
			},
		},
		"runs as fast elsewhere": {
			wait: Wait{
				Factor: 1,
				Slack:  far,
				Float:  far,
			},
		},
		"ratio not known": {
			wait: Wait{
				Factor: -1,
				Slack:  far,
			},
		},
		"nothing left to run": {
			wait: Wait{
				Rest:  -1,
				Slack: far,
			},
		},
		"smaller factor, wait longer than the loss": {
			wait: Wait{
				Near:   600 * time.Millisecond,
				Factor: 1.5,
				Slack:  far,
			},
		},
		"smaller factor, wait shorter than the loss": {
			wait: Wait{
				Near:   400 * time.Millisecond,
				Factor: 1.5,
				Slack:  far,
			},
			want: 500 * time.Millisecond,
		},
		"checkpoint leaves little to lose": {
			wait: Wait{
				Near:  200 * time.Millisecond,
				Rest:  100 * time.Millisecond,
				Slack: far,
			},
		},
		"waited for part of the limit": {
			wait: Wait{
				Near:   500 * time.Millisecond,
				Waited: 400 * time.Millisecond,
				Slack:  far,
			},
			want: 600 * time.Millisecond,
		},
		"waited as long as the loss": {
			wait: Wait{
				Near:   time.Millisecond,
				Waited: time.Second,
				Slack:  far,
			},
		},
		"job runs longer in parallel: near end within it": {
			wait: Wait{
				Near:   3 * time.Second,
				Float:  4 * time.Second,
				Waited: time.Second,
				Slack:  far,
			},
			want: 2 * time.Second,
		},
		"job runs longer in parallel: near end after it": {
			wait: Wait{
				Near:  3*time.Second + 1,
				Float: 4 * time.Second,
				Slack: far,
			},
		},
		"both meet the objective, wait ends in time to meet it elsewhere": {
			wait: Wait{
				Near:  500 * time.Millisecond,
				Slack: 2*time.Second + margin + 300*time.Millisecond,
			},
			want: 300 * time.Millisecond,
		},
		"meets the objective elsewhere, no time to try": {
			wait: Wait{
				Near:  500 * time.Millisecond,
				Slack: 2*time.Second + margin,
			},
		},
		"meets the objective elsewhere only": {
			wait: Wait{
				Near:  3 * time.Second,
				Float: 10 * time.Second,
				Slack: 3500 * time.Millisecond,
			},
		},
		"meets the objective on the rack only": {
			wait: Wait{
				Near:  500 * time.Millisecond,
				Slack: 1500 * time.Millisecond,
			},
			want: time.Second,
		},
		"meets the objective nowhere": {
			wait: Wait{
				Near:  500 * time.Millisecond,
				Slack: -time.Second,
			},
			want: time.Second,
		},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			wait := tt.wait
			if wait.Rest == 0 {
				wait.Rest = time.Second
			}
			if wait.Factor == 0 {
				wait.Factor = 2
			}
			assert.Equal(t, tt.want, wait.Worthwhile())
		})
	}
}
