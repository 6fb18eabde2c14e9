package timeplot

import (
	"fmt"
	"image/color"
	"io"
	"math"

	"github.com/go-faster/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
	"gonum.org/v1/plot/vg/vgsvg"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// Format is the file format of a plot.
type Format string

// Supported formats.
const (
	SVG Format = "svg"
	PNG Format = "png"
)

// Size of a plot, and font size of the mark labels.
const (
	width     = 12 * vg.Inch
	height    = 6 * vg.Inch
	labelSize = 7
)

// ErrNoEvents is returned by Draw if the timeline contains no events.
var ErrNoEvents = errors.New("no events to draw")

// Draw writes a plot of the merged events to w. Events older than 24 hours before
// the newest one are not drawn. It returns ErrNoEvents if there are no events.
func Draw(w io.Writer, merged timeline.Merged, format Format) error {
	if len(merged.Events) == 0 {
		return ErrNoEvents
	}
	p, err := build(merged)
	if err != nil {
		return err
	}
	var canvas vg.CanvasWriterTo
	switch format {
	case SVG:
		canvas = vgsvg.New(width, height)
	case PNG:
		canvas = vgimg.PngCanvas{Canvas: vgimg.New(width, height)}
	default:
		return errors.Errorf("format %q is not %q or %q", format, SVG, PNG)
	}
	p.Draw(draw.New(canvas))
	if _, err := canvas.WriteTo(w); err != nil {
		return errors.Wrap(err, "write plot")
	}
	return nil
}

// build returns the plot with its axes, rates and marks. The title gives the clock
// error and the number of events and marks that are not shown.
func build(merged timeline.Merged) (*plot.Plot, error) {
	events := recentEvents(merged.Events)
	s := eventSpan(events)
	p := plot.New()
	p.X.Label.Text = "seconds from " + s.start.UTC().Format("2006-01-02 15:04:05 UTC")
	p.Y.Label.Text = "requests per second"
	p.X.Min, p.X.Max, p.Y.Min = 0, float64(s.seconds), 0
	p.Legend.Top = true
	highest := 1
	for i, rate := range countPerSecond(events, s) {
		line, err := stepLine(rate)
		if err != nil {
			return nil, errors.Wrapf(err, "draw %s", rate.name)
		}
		line.Color, line.Dashes, line.Width = plotutil.Color(i), plotutil.Dashes(i), vg.Points(1.5)
		p.Add(line)
		p.Legend.Add(rate.name, line)
		for _, n := range rate.perSecond {
			highest = max(highest, n)
		}
	}
	p.Y.Max = math.Ceil(float64(highest) * 1.1)
	marks, omitted := groupMarks(events, s)
	p.Title.Text = fmt.Sprintf("%d events, clock error at most ±%v, %d events missing, %d earlier marks left out",
		len(events), merged.ErrorBound, merged.Lost+merged.Omitted, omitted)
	return p, addMarks(p, marks)
}

// stepLine returns a line that is constant over each second.
func stepLine(s series) (*plotter.Line, error) {
	points := make(plotter.XYs, 0, 2*len(s.perSecond))
	for second, n := range s.perSecond {
		points = append(points, plotter.XY{X: float64(second), Y: float64(n)}, plotter.XY{X: float64(second + 1), Y: float64(n)})
	}
	return plotter.NewLine(points)
}

// addMarks adds a vertical line with a label along it for each mark.
func addMarks(p *plot.Plot, marks []mark) error {
	if len(marks) == 0 {
		return nil
	}
	labels := plotter.XYLabels{}
	for _, m := range marks {
		line, err := plotter.NewLine(plotter.XYs{{X: m.second, Y: 0}, {X: m.second, Y: p.Y.Max}})
		if err != nil {
			return errors.Wrapf(err, "draw mark %q", m.label)
		}
		line.Color, line.Width = color.Gray{Y: 0xa0}, vg.Points(0.5)
		p.Add(line)
		labels.XYs = append(labels.XYs, plotter.XY{X: m.second, Y: 0})
		labels.Labels = append(labels.Labels, m.label)
	}
	rendered, err := plotter.NewLabels(labels)
	if err != nil {
		return errors.Wrap(err, "draw labels of marks")
	}
	for i := range rendered.TextStyle {
		rendered.TextStyle[i].Rotation, rendered.TextStyle[i].Font.Size = math.Pi/2, labelSize
		rendered.TextStyle[i].YAlign = draw.YBottom
	}
	rendered.Offset = vg.Point{X: -1, Y: 3}
	p.Add(rendered)
	return nil
}
