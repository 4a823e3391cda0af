package gate

// ServiceVars holds the metrics of one service.
type ServiceVars struct {
	// Queued is the number of waiting requests, Busy that of requests in
	// progress.
	Queued int `json:"queued"`
	Busy   int `json:"busy"`
	// Ejected is the number of ejected runners.
	Ejected int `json:"ejected"`
	// RetryBudget is how many extra sends may be spent now.
	RetryBudget float64 `json:"retry_budget"`
	// P50MS, P95MS and P99MS are latencies from send to answer, in
	// milliseconds.
	P50MS float64 `json:"p50_ms"`
	P95MS float64 `json:"p95_ms"`
	P99MS float64 `json:"p99_ms"`
}

// Vars holds the admission metrics of a host.
type Vars struct {
	Services map[string]ServiceVars `json:"services"`
	// Credits is the number of usable slots by lender.
	Credits map[string]int `json:"credits"`
	// Demand is the number of slots that the host could use.
	Demand float64 `json:"demand"`
}

// Vars returns the current metrics.
func (a *Admission) Vars() Vars {
	vars := Vars{
		Services: map[string]ServiceVars{},
		Credits:  map[string]int{},
	}
	a.Do(func() {
		vars.Demand = a.demand
		for service, state := range a.services {
			vars.Services[service] = ServiceVars{
				Queued:      state.queue.Length(),
				Busy:        state.busy,
				Ejected:     a.table.Ejected(service),
				RetryBudget: state.budget.Balance(),
				P50MS:       state.quantileMS(50),
				P95MS:       state.quantileMS(95),
				P99MS:       state.quantileMS(99),
			}
		}
		counts, _, _ := a.countLenders()
		for lender := range counts {
			vars.Credits[lender] = a.borrower.Granted(lender, a.config.Clock())
		}
	})
	return vars
}

func (s *serviceState) quantileMS(percent float64) float64 {
	return s.budget.Quantile(percent).Seconds() * 1000
}
