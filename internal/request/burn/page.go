package burn

import (
	"fmt"
	"html/template"
	"io"
	"strings"
	"time"
)

// page renders the report as one self-contained HTML file.
var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": func(part float64) string { return fmt.Sprintf("%.1f %%", 100*part) },
	"burn":    func(line Line, window string) string { return fmt.Sprintf("%.2f", line.Burn[window]) },
	"heat":    burnClass,
	"bars":    bars,
	"budget":  budget,
	"clock":   func(at time.Time) string { return at.Format("2006-01-02 15:04:05 MST") },
}).Parse(pageText))

// burnClass returns the CSS class of a line's burn rate over a window.
func burnClass(line Line, window string) string {
	switch rate := line.Burn[window]; {
	case rate >= fastBurn:
		return "hot"
	case rate >= slowBurn:
		return "warm"
	}
	return "cool"
}

// Sizes of the charts, in pixels.
const (
	barWidth    = 3
	barHeight   = 36
	budgetWidth = 80
)

// bars draws the fraction of bad requests in the last hour as SVG, one bar a
// minute. A full bar is a burn of 10.
func bars(line Line) template.HTML {
	var out strings.Builder
	_, _ = fmt.Fprintf(&out, `<svg width="%d" height="%d" role="img" aria-label="bad requests by minute">`, barWidth*len(line.Minutes), barHeight)
	_, _ = fmt.Fprintf(&out, `<line x1="0" y1="%d" x2="%d" y2="%d" class="axis"/>`, barHeight-1, barWidth*len(line.Minutes), barHeight-1)
	for i, bad := range line.Minutes {
		height := min(bad/(1-line.Target)/10, 1) * (barHeight - 2)
		if bad > 0 && height < 2 {
			height = 2
		}
		_, _ = fmt.Fprintf(&out, `<rect x="%d" y="%.1f" width="%d" height="%.1f" class="bad"/>`, barWidth*i, barHeight-1-height, barWidth-1, height)
	}
	out.WriteString(`</svg>`)
	return template.HTML(out.String()) //nolint:gosec // only numbers are written
}

// budget draws the fraction of the error budget that is left as SVG.
func budget(line Line) template.HTML {
	left := min(max(line.BudgetLeft, 0), 1)
	return template.HTML(fmt.Sprintf( //nolint:gosec // only numbers are written
		`<svg width="%d" height="14"><rect width="%d" height="14" rx="3" class="track"/><rect width="%.1f" height="14" rx="3" class="left"/></svg>`,
		budgetWidth, budgetWidth, left*budgetWidth))
}

// WriteHTML writes the report as a page that loads no other resource. Its error
// is that of out.
func (r *Report) WriteHTML(out io.Writer) error {
	return page.Execute(out, struct {
		Report  *Report
		Windows []Window
	}{
		Report:  r,
		Windows: Windows,
	})
}

const pageText = `<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>
body{font:15px/1.5 system-ui,sans-serif;margin:2rem;color:#1d2a33;background:#f6f8f9}
h1{font-size:1.5rem;margin:0 0 .2rem}p{color:#5a6b76;margin:.2rem 0 1.4rem}
table{border-collapse:collapse;width:100%;background:#fff;border-radius:8px;overflow:hidden;box-shadow:0 1px 3px #0002}
th,td{padding:.5rem .6rem;text-align:right;border-bottom:1px solid #e8edf0;white-space:nowrap}
th{font-size:.78rem;font-weight:600;color:#5a6b76;background:#fbfcfc}
th:first-child,td:first-child,th:nth-child(2),td:nth-child(2){text-align:left}
tr.all td{font-weight:600;background:#f2f6f8}
td.hot,tr.all td.hot{background:#fbdcd7;color:#8f1d0c}td.warm,tr.all td.warm{background:#fdf1cf;color:#7a5600}.cool{color:#4c6b58}
.alert{display:inline-block;border-radius:9px;padding:0 .6rem;font-size:.8rem}
.alert.fast{background:#c22f17;color:#fff}.alert.slow{background:#e9b93a;color:#3b2a00}.alert.none{background:#dcebe2;color:#28513a}
.axis{stroke:#c5d0d6}.bad{fill:#d2553f}.track{fill:#e3e9ec}.left{fill:#4d9a74}
</style></head><body>
<h1>Service-level burn</h1>
<p>{{clock .Report.At}} &middot; hosts: {{range .Report.Hosts}}{{.}} {{end}}{{if .Report.Missing}}&middot; not heard: {{range .Report.Missing}}{{.}} {{end}}{{end}}</p>
<table><thead><tr><th>Service</th><th>Customer</th><th>Target</th><th>Requests</th><th>Bad</th>
{{range .Windows}}<th>Burn {{.Name}}</th>{{end}}<th>Budget left</th><th>Last hour</th><th>Alert</th></tr></thead><tbody>
{{$windows := .Windows}}{{range $line := .Report.Lines}}<tr{{if eq $line.Key.Customer "(all)"}} class="all"{{end}}>
<td>{{$line.Key.Service}}</td><td>{{$line.Key.Customer}}</td><td>{{percent $line.Target}}</td><td>{{$line.Total}}</td><td>{{$line.Bad}}</td>
{{range $windows}}<td class="{{heat $line .Name}}">{{burn $line .Name}}</td>{{end}}
<td>{{budget $line}} {{percent $line.BudgetLeft}}</td><td>{{bars $line}}</td><td><span class="alert {{$line.Alert}}">{{$line.Alert}}</span></td></tr>
{{else}}<tr><td colspan="12">No requests have been counted yet.</td></tr>{{end}}</tbody></table>
<p>A burn of 1 spends the budget exactly over its period. Fast: 14.4 or more over both 1 h and 5 min. Slow: 1 or more over both 3 d and 6 h.</p>
</body></html>
`
