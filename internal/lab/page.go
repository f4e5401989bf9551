package lab

import (
	"fmt"
	"html/template"
	"io"
)

// page is the template of report.html. It needs no other file.
var page = template.Must(template.New("report").Funcs(template.FuncMap{
	"value": func(v *float64) string { return fmt.Sprintf("%.4g", *v) },
	"shade": func(i int) template.CSS {
		shade := bandColor(i)
		return template.CSS(fmt.Sprintf("background:rgba(%d,%d,%d,.35)", shade.R, shade.G, shade.B))
	},
}).Parse(`<!doctype html>
<html lang="en"><meta charset="utf-8"><title>{{.R.Name}}, seed {{.R.Seed}}</title>
<style>body{font:15px/1.45 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}table{border-collapse:collapse}td,th{padding:.2em .7em;
border-bottom:1px solid #ddd;text-align:left;vertical-align:top}.no{color:#b00020;font-weight:bold}svg{max-width:100%;height:auto}
.band{display:inline-block;padding:0 .5em;margin-right:.5em}</style>
<h1>{{.R.Name}}</h1><p>{{.R.States}}</p>
<p>Seed {{.R.Seed}}, {{.R.Sidecars}} sidecars, {{.R.Servers}} servers, {{printf "%.0f" .R.Rate}} requests a second for {{.R.Seconds}} s on
{{.R.Machine.Cores}} cores. Arrivals {{.R.ArrivalsHash}}, faults {{.R.StepsHash}}.{{if .R.Void}} <b class="no">Void: the lab was late.</b>{{end}}</p>
<h2>Held {{.Held}} of {{.Of}}</h2>
<table><tr><th>invariant or bar</th><th>verdict</th><th>looked at</th><th>what it says, and what broke it</th></tr>
{{range .R.Verdicts}}<tr><td>{{.Name}}</td><td>{{if .Broken}}<span class="no">broken, {{.Broken}} times</span>{{else}}{{.Verdict}}{{end}}</td><td>{{.LookedAt}}</td>
<td>{{.Says}}{{with .Value}}{{value .}}{{end}}{{with .Bar}}, wanted {{.}}{{end}}{{range .Detail}}<br>{{.}}{{end}}</td></tr>{{end}}</table>
<h2>Course</h2><p>{{range $i, $b := .R.Bands}}<span class="band" style="{{shade $i}}">{{$b.Says}}, {{printf "%.1f" $b.From}} to {{printf "%.1f" $b.To}} s</span>{{end}}</p>
<p>{{.Picture}}</p>
<h2>Figures</h2><table>{{range $k, $v := .R.Figures}}<tr><td>{{$k}}</td><td>{{printf "%.4g" $v}}</td></tr>{{end}}</table>
<h2>Faults as they took effect</h2><table><tr><th>planned</th><th>effect</th><th>what</th><th>on</th></tr>
{{range .R.Effects}}<tr><td>{{printf "%.3f" .Planned}}</td><td>{{printf "%.3f" .Seen}}</td><td>{{.Do}}{{with .Error}}: {{.}}{{end}}</td><td>{{.On}}</td></tr>{{end}}</table>
</html>
`))

// writePage writes report.html.
func writePage(w io.Writer, result *Result) error {
	drawn, err := picture(result)
	if err != nil {
		return err
	}
	held, of := result.Held()
	return page.Execute(w, struct {
		R        *Result
		Held, Of int
		Picture  template.HTML
	}{result, held, of, drawn})
}
