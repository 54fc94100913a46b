package org.wigeontally.emulator.measure;

import java.io.File;
import java.io.IOException;
import java.util.List;
import java.util.Map;

import org.jfree.chart.ChartFactory;
import org.jfree.chart.ChartUtils;
import org.jfree.chart.JFreeChart;
import org.jfree.chart.plot.PlotOrientation;
import org.jfree.data.category.DefaultCategoryDataset;
import org.jfree.data.xy.XYSeries;
import org.jfree.data.xy.XYSeriesCollection;

/**
 * Draws figures: the series as lines, or the values as bars if there are no series.
 */
final class Plot {

	private static final int WIDTH_PX = 900;

	private static final int HEIGHT_PX = 600;

	private Plot() {
	}

	static void write(String title, Figures figures, String file) throws IOException {
		JFreeChart chart = figures.series().isEmpty() ? bars(title, figures) : lines(title, figures);
		ChartUtils.saveChartAsPNG(new File(file), chart, WIDTH_PX, HEIGHT_PX);
	}

	private static JFreeChart bars(String title, Figures figures) {
		DefaultCategoryDataset data = new DefaultCategoryDataset();
		figures.values().forEach((name, value) -> data.addValue(value, "value", name));
		return ChartFactory.createBarChart(title, "figure", "value", data, PlotOrientation.HORIZONTAL, false, false,
				false);
	}

	private static JFreeChart lines(String title, Figures figures) {
		XYSeriesCollection data = new XYSeriesCollection();
		for (Map.Entry<String, List<Figures.Point>> entry : figures.series().entrySet()) {
			XYSeries series = new XYSeries(entry.getKey());
			entry.getValue().forEach((point) -> series.add(point.x(), point.y()));
			data.addSeries(series);
		}
		return ChartFactory.createXYLineChart(title, "x", "y", data);
	}

}
