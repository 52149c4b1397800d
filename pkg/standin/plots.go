package standin

import (
	"encoding/csv"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 18 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// DrawPlots draws each CSV file of the source folder as an SVG line plot in the target folder. The
// first row names the columns; the first column is the horizontal axis.
func DrawPlots(sourceFolder, targetFolder string) error {
	files, err := filepath.Glob(filepath.Join(sourceFolder, "*.csv"))
	if err != nil {
		return errors.Wrap(err, "plots")
	}
	if err := os.MkdirAll(targetFolder, 0o755); err != nil {
		return errors.Wrap(err, "plots")
	}
	for _, file := range files {
		name := strings.TrimSuffix(filepath.Base(file), ".csv")
		if err := drawPlot(file, filepath.Join(targetFolder, name+".svg"), name); err != nil {
			return errors.Wrapf(err, "plot of %s", file)
		}
	}
	return nil
}

func drawPlot(csvPath, svgPath, title string) error {
	file, err := os.Open(csvPath)
	if err != nil {
		return err
	}
	defer file.Close()
	rows, err := csv.NewReader(file).ReadAll()
	if err != nil {
		return err
	}
	if len(rows) < 2 {
		return errors.New("no data rows")
	}
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = rows[0][0]
	p.Y.Min = 0
	lines := []any{}
	for column := 1; column < len(rows[0]); column++ {
		points, err := parsePoints(rows[1:], column)
		if err != nil {
			return err
		}
		lines = append(lines, rows[0][column], points)
	}
	if err := plotutil.AddLinePoints(p, lines...); err != nil {
		return err
	}
	p.Legend.Top = true
	return p.Save(plotWidth, plotHeight, svgPath)
}

// parsePoints returns the points of one column over the first column.
func parsePoints(rows [][]string, column int) (plotter.XYs, error) {
	points := plotter.XYs{}
	for n, row := range rows {
		x, errX := strconv.ParseFloat(row[0], 64)
		y, errY := strconv.ParseFloat(row[column], 64)
		if errX != nil || errY != nil {
			return nil, fmt.Errorf("row %d, column %d is not a number", n+2, column+1)
		}
		points = append(points, plotter.XY{X: x, Y: y})
	}
	return points, nil
}
