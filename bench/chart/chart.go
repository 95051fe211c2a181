package chart

import (
	"math"
	"time"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/chicoryrelay/chicoryrelay/bench/report"
)

// Kind is the kind of a chart.
type Kind string

// The kinds of chart.
const (
	// First draws the distribution of times to first token on an axis with equal room for each further nine of the quantile.
	First Kind = "first"
	// Second draws the number of first tokens in each second of the run.
	Second Kind = "second"
)

// Size of a chart.
const (
	width  = 18 * vg.Centimeter
	height = 11 * vg.Centimeter
)

// Draw writes a chart of the reports to a file whose extension, .png or .svg, selects the format.
func Draw(kind Kind, file string, reports ...report.Report) error {
	p := plot.New()
	var points func(report.Report) plotter.XYs
	switch kind {
	case First:
		p.Title.Text = "Time to first token"
		p.X.Label.Text, p.Y.Label.Text = "quantile in %", "seconds"
		p.X.Tick.Marker = plot.ConstantTicks(quantileTicks())
		p.Y.Scale, p.Y.Tick.Marker = plot.LogScale{}, plot.LogTicks{Prec: -1}
		points = distributionPoints
	case Second:
		p.Title.Text = "First tokens per second"
		p.X.Label.Text, p.Y.Label.Text = "second of the run", "first tokens"
		points = perSecondPoints
	default:
		return oops.Code("chart").Errorf("kind %q is unknown; use first or second", kind)
	}
	p.Legend.Top, p.Legend.Left = true, true
	p.Add(plotter.NewGrid())
	for i, r := range reports {
		xys := points(r)
		if len(xys) == 0 {
			return oops.Code("chart").Errorf("report %s has no answers to draw: give a report of a run with served requests", r.Name)
		}
		line, err := plotter.NewLine(xys)
		if err != nil {
			return oops.Code("chart").Wrap(err)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.Name, line)
	}
	if err := p.Save(width, height, file); err != nil {
		return oops.Code("chart").Errorf("name a file that ends in .png or .svg: %w", err)
	}
	return nil
}

// nines maps a quantile in percent to its number of nines, such as 2 for 99 %, which spreads the tail over the axis.
func nines(quantile float64) float64 { return -math.Log10(1 - quantile/100) }

// maxQuantile is the end of the axis in percent; 100 % would be at infinity.
const maxQuantile = 99.99

func quantileTicks() []plot.Tick {
	var ticks []plot.Tick
	for _, tick := range []struct {
		quantile float64
		label    string
	}{{0, "0"}, {50, "50"}, {90, "90"}, {99, "99"}, {99.9, "99.9"}, {99.99, "99.99"}} {
		ticks = append(ticks, plot.Tick{Value: nines(tick.quantile), Label: tick.label})
	}
	return ticks
}

func distributionPoints(r report.Report) plotter.XYs {
	var xys plotter.XYs
	for _, point := range r.Distribution {
		if point.Quantile > maxQuantile {
			break
		}
		xys = append(xys, plotter.XY{X: nines(point.Quantile), Y: max(point.Time, time.Microsecond).Seconds()})
	}
	return xys
}

func perSecondPoints(r report.Report) plotter.XYs {
	xys := make(plotter.XYs, len(r.PerSecond))
	for second, count := range r.PerSecond {
		xys[second] = plotter.XY{X: float64(second), Y: float64(count)}
	}
	return xys
}
