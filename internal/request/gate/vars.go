package gate

// LaneVars is what metrics show of one service.
type LaneVars struct {
	Queued int `json:"queued"`
	Busy   int `json:"busy"`
	// Ejected is how many runners are ejected.
	Ejected int `json:"ejected"`
	// RetryBudget is how many extra sends may be spent now.
	RetryBudget float64 `json:"retry_budget"`
	// P50MS, P95MS and P99MS are latencies from slot to answer.
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
}

// Vars is what metrics show of a desk.
type Vars struct {
	Services map[string]LaneVars `json:"services"`
	// Credits is usable slots by lender.
	Credits map[string]int `json:"credits"`
	// Demand is the slots that the host could use.
	Demand float64 `json:"demand"`
}

// Vars asks the loop for the present figures.
func (d *Desk) Vars() Vars {
	vars := Vars{
		Services: map[string]LaneVars{},
		Credits:  map[string]int{},
	}
	d.Ask(func() {
		vars.Demand = d.demand
		for service, one := range d.lanes {
			vars.Services[service] = LaneVars{
				Queued:      one.queue.Length(),
				Busy:        one.busy,
				Ejected:     d.table.Ejected(service),
				RetryBudget: one.budget.Balance(),
				P50MS:       one.quantileMS(50),
				P95MS:       one.quantileMS(95),
				P99MS:       one.quantileMS(99),
			}
		}
		counts, _, _ := d.countLenders()
		for lender := range counts {
			vars.Credits[lender] = d.borrower.Granted(lender, d.config.Clock())
		}
	})
	return vars
}

func (l *lane) quantileMS(percent float64) float64 {
	return l.budget.Quantile(percent).Seconds() * 1000
}
