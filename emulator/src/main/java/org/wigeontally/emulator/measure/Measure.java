package org.wigeontally.emulator.measure;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import com.beust.jcommander.JCommander;
import com.beust.jcommander.Parameter;
import com.beust.jcommander.ParameterException;

/**
 * The door to all measurements: reads the options, runs the one that is named, prints its
 * figures and, if asked, a JSON object as the last line and a plot to a file.
 */
public final class Measure {

	private static final int EXIT_FAILED = 1;

	private static final int EXIT_USAGE = 2;

	private Measure() {
	}

	/**
	 * Runs a measurement.
	 * @param args name of the measurement and its options
	 */
	public static void main(String[] args) {
		System.exit(run(args));
	}

	private static int run(String[] args) {
		Common common = new Common();
		JCommander commander = JCommander.newBuilder().programName("bin/measure").addObject(common).build();
		for (Measurement measurement : Measurements.all()) {
			commander.addCommand(measurement.name(), new Object[] { measurement, new Common() });
		}
		try {
			commander.parse(args);
		}
		catch (ParameterException ex) {
			System.err.println(ex.getMessage());
			return EXIT_USAGE;
		}
		String name = commander.getParsedCommand();
		if (name == null || common.help) {
			commander.usage();
			return common.help ? 0 : EXIT_USAGE;
		}
		List<Object> objects = new ArrayList<>(commander.getCommands().get(name).getObjects());
		Common options = (Common) objects.get(1);
		if (options.help) {
			commander.getUsageFormatter().usage(name);
			return 0;
		}
		return run((Measurement) objects.get(0), options);
	}

	private static int run(Measurement measurement, Common options) {
		Figures figures;
		try {
			figures = measurement.run(options.seed);
			if (options.plot != null) {
				Plot.write(measurement.name(), figures, options.plot);
			}
		}
		catch (Exception ex) {
			System.err.println("measure: " + measurement.name() + " failed: " + ex);
			ex.printStackTrace();
			return EXIT_FAILED;
		}
		for (Map.Entry<String, Double> figure : figures.values().entrySet()) {
			System.out.printf("%-32s %s%n", figure.getKey(), number(figure.getValue()));
		}
		if (options.json) {
			System.out.println(json(figures));
		}
		return 0;
	}

	private static String json(Figures figures) {
		List<String> members = new ArrayList<>();
		figures.values().forEach((name, value) -> members.add("\"" + name + "\":" + number(value)));
		return "{" + String.join(",", members) + "}";
	}

	private static String number(double value) {
		if (Double.isNaN(value) || Double.isInfinite(value)) {
			return "null";
		}
		if (value == Math.rint(value) && Math.abs(value) < 1e15) {
			return Long.toString((long) value);
		}
		return String.format(java.util.Locale.ROOT, "%.4f", value);
	}

	/**
	 * Options of every measurement.
	 */
	static final class Common {

		@Parameter(names = "--seed", description = "Seed of all random choices")
		private long seed = 1;

		@Parameter(names = "--json", description = "Print one JSON object as the last line")
		private boolean json;

		@Parameter(names = "--plot", description = "Write a plot to this PNG file")
		private String plot;

		@Parameter(names = { "--help", "-h" }, help = true, description = "Print the options")
		private boolean help;

	}

}
