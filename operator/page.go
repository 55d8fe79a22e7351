package operator

import (
	"bytes"
	_ "embed"
	"html/template"
	"math"

	"github.com/cockroachdb/errors"

	"github.com/primrosemount/primrosemount/core/burn"
	pb "github.com/primrosemount/primrosemount/gen/primrosemountv1"
)

//go:embed page.html
var pageText string

var pageTemplate = template.Must(template.New("page").Parse(pageText))

const (
	// maxPlots bounds the plots of a page; the table holds all rows.
	maxPlots = 60
	// plotWidth is the width of the bars in pixels.
	plotWidth = 420.0
	// lowestRate and highestRate are the ends of the logarithmic axis.
	lowestRate  = 0.1
	highestRate = 1000.0
)

// page is the input of the template.
type page struct {
	Time     string
	Coverage string
	Partial  bool
	Plotted  int
	Rows     []pageRow
	Marks    []mark
}

// pageRow is one service and class.
type pageRow struct {
	Alarm     string
	Service   string
	Class     string
	Objective string
	Bars      []bar
	Bad       uint64
	All       uint64
	Plot      bool
}

// bar is one window of a plot.
type bar struct {
	Window string
	Rate   string
	Width  float64
	Top    int
}

// mark is a vertical line at one rate.
type mark struct {
	Rate string
	X    float64
}

// barHeight is the height of one bar with its gap in pixels.
const barHeight = 18

var windowNames = [...]string{"5 min", "1 h", "6 h"}

// BurnPage returns one self-contained HTML page with plots of the report.
func BurnPage(report *pb.BurnReport) ([]byte, error) {
	rows := burn.Rows(report.Counters)
	p := page{
		Time:     timeText(report.TimeUnixNanos),
		Coverage: coverageText(report),
		Partial:  report.NodesAnswered < report.NodesAsked,
		Plotted:  min(len(rows), maxPlots),
		Marks:    []mark{markAt("1", 1), markAt("6", burn.SlowBurnRate), markAt("14.4", burn.FastBurnRate), markAt("100", 100)},
	}
	for i, r := range rows {
		p.Rows = append(p.Rows, newPageRow(r, i < maxPlots))
	}
	var out bytes.Buffer
	if err := pageTemplate.Execute(&out, p); err != nil {
		return nil, errors.Wrap(err, "operator: the page cannot be written; report this to the developers")
	}
	return out.Bytes(), nil
}

func markAt(text string, rate float64) mark { return mark{Rate: text, X: barWidth(rate)} }

func newPageRow(r burn.Row, plot bool) pageRow {
	long := r.Windows[len(r.Windows)-1]
	row := pageRow{
		Alarm:     r.Alarm().String(),
		Service:   r.Service,
		Class:     className(r.Class),
		Objective: shareText(objectiveOf(r)),
		Bad:       long.Bad,
		All:       long.Good + long.Bad,
		Plot:      plot,
	}
	for i, window := range r.Windows {
		row.Bars = append(row.Bars, bar{
			Window: windowNames[i],
			Rate:   rateText(window),
			Width:  barWidth(burn.Rate(window)),
			Top:    i * barHeight,
		})
	}
	return row
}

// barWidth places a rate on the logarithmic axis.
func barWidth(rate float64) float64 {
	rate = min(max(rate, lowestRate), highestRate)
	share := math.Log10(rate/lowestRate) / math.Log10(highestRate/lowestRate)
	return math.Round(share*plotWidth*10) / 10
}
