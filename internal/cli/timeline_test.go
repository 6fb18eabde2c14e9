package cli

import (
	"encoding/json"
	"encoding/xml"
	"image/png"
	"io"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/go-faster/errors"
	"github.com/matryer/is"

	"github.com/dogwoodroute/dogwoodroute/timeline"
)

// instancesAndKinds returns the instance and kind of each event as one text.
func instancesAndKinds(events []timeline.Event) string {
	var list []string
	for _, e := range events {
		list = append(list, e.Instance+" "+string(e.Kind))
	}
	return strings.Join(list, ", ")
}

// Guards against events ordered by the instances' own clocks (that of i2 is one hour
// ahead), and against events that are omitted without being counted.
func TestTimeline(t *testing.T) {
	is := is.New(t)
	all := strings.Join(startFleet(t), ",")
	var report timelineReport
	got := run("timeline", "--admin", all, "--timeout", longTimeout, "--last", "43m", "--json")
	is.Equal(got.code, exitOK)
	is.NoErr(json.Unmarshal([]byte(got.stdout), &report))
	is.Equal(instancesAndKinds(report.Events), "i2 instance-started, i2 target-ejected, i3 instance-started, i3 target-ejected")

	got = run("timeline", "--admin", all, "--timeout", longTimeout, "--request", "r1", "--json")
	is.NoErr(json.Unmarshal([]byte(got.stdout), &report))
	is.Equal(instancesAndKinds(report.Events), "i1 request-received, i1 request-refused, i2 request-received, i2 request-refused, i3 request-received, i3 request-refused")

	got = run("timeline", "--admin", all+","+unreachable(), "--timeout", longTimeout, "--state-only=false", "--most", "3")
	is.Equal(got.code, exitFailed)
	is.Equal(strings.Count(got.stdout, "\n"), 3+1+1) // events, failure, summary
	checkContains(t, got.stdout, "not asked: instance at ", "12 events, 9 earlier ones not printed; times are off by at most ",
		"lost from rings: 0, left out by instances: 0", "request-refused   request=r1 route=lookup overload")
}

// Guards against plots without marks or series, and against files in an invalid
// format.
func TestPlot(t *testing.T) {
	is := is.New(t)
	all := strings.Join(startFleet(t), ",")
	directory := t.TempDir()
	svg, image := filepath.Join(directory, "x.svg"), filepath.Join(directory, "x.PNG")
	got := run("timeline", "--admin", all, "--timeout", longTimeout, "--plot", svg)
	is.Equal(got.code, exitOK)
	is.True(!strings.Contains(got.stdout, "request-received")) // the text is still limited to state changes
	is.Equal(run("timeline", "--admin", all, "--timeout", longTimeout, "--plot", image).code, exitOK)

	file, err := os.Open(image)
	is.NoErr(err)
	defer func() { is.NoErr(file.Close()) }()
	picture, err := png.Decode(file)
	is.NoErr(err)
	is.True(picture.Bounds().Dx() > 500)

	texts := svgTexts(t, svg)
	for _, want := range []string{"i1 instance-started", "i2 target-ejected t2", "i3 target-ejected t2", "requests", "refused: overload", "requests per second"} {
		is.True(texts[want]) // the label of a mark, a series or an axis
	}
}

// svgTexts parses an SVG file and returns its texts.
func svgTexts(t *testing.T, path string) map[string]bool {
	is := is.New(t)
	file, err := os.Open(path)
	is.NoErr(err)
	defer func() { is.NoErr(file.Close()) }()
	texts := make(map[string]bool)
	for decoder := xml.NewDecoder(file); ; {
		token, err := decoder.Token()
		if errors.Is(err, io.EOF) {
			return texts
		}
		is.NoErr(err)
		if text, ok := token.(xml.CharData); ok {
			texts[strings.TrimSpace(string(text))] = true
		}
	}
}
