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
	// maxPlots is the maximum number of plots on a page. The table contains all rows.
	maxPlots = 60
	// plotWidth is the maximum width of a bar in pixels.
	plotWidth = 420.0
	// minRate and maxRate are the burn rates at the ends of the logarithmic axis.
	minRate = 0.1
	maxRate = 1000.0
)

// page is the data of the template.
type page struct {
	Time     string
	Coverage string
	Partial  bool
	Plotted  int
	Rows     []pageRow
	Marks    []gridline
}

// pageRow is the data of one service and class.
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

// bar is the burn rate over one time window in a plot.
type bar struct {
	Window string
	Rate   string
	Width  float64
	Top    int
}

// gridline is a vertical line at one burn rate. X is its position in pixels.
type gridline struct {
	Rate string
	X    float64
}

// barPitch is the vertical distance between two bars in pixels.
const barPitch = 18

// windowNames holds the labels of the windows in the order of burn.Row.Windows.
var windowNames = [...]string{"5 min", "1 h", "6 h"}

// BurnPage returns a self-contained HTML page with plots and a table of the report.
func BurnPage(report *pb.BurnReport) ([]byte, error) {
	rows := burn.Rows(report.Counters)
	p := page{
		Time:     timeText(report.TimeUnixNanos),
		Coverage: coverageText(report),
		Partial:  report.NodesAnswered < report.NodesAsked,
		Plotted:  min(len(rows), maxPlots),
		Marks:    []gridline{gridlineAt("1", 1), gridlineAt("6", burn.SlowBurnRate), gridlineAt("14.4", burn.FastBurnRate), gridlineAt("100", 100)},
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

func gridlineAt(text string, rate float64) gridline { return gridline{Rate: text, X: barWidth(rate)} }

func newPageRow(r burn.Row, plot bool) pageRow {
	longest := r.Windows[len(r.Windows)-1]
	row := pageRow{
		Alarm:     r.Alarm().String(),
		Service:   r.Service,
		Class:     className(r.Class),
		Objective: percentText(objectiveOf(r)),
		Bad:       longest.Bad,
		All:       longest.Good + longest.Bad,
		Plot:      plot,
	}
	for i, window := range r.Windows {
		row.Bars = append(row.Bars, bar{
			Window: windowNames[i],
			Rate:   rateText(window),
			Width:  barWidth(burn.Rate(window)),
			Top:    i * barPitch,
		})
	}
	return row
}

// barWidth returns the position of a burn rate on the logarithmic axis in pixels.
func barWidth(rate float64) float64 {
	rate = min(max(rate, minRate), maxRate)
	fraction := math.Log10(rate/minRate) / math.Log10(maxRate/minRate)
	return math.Round(fraction*plotWidth*10) / 10
}
