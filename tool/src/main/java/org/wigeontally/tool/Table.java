package org.wigeontally.tool;

import java.util.ArrayList;
import java.util.List;

/**
 * Formats rows of text as left-aligned columns. The first row holds the column titles.
 */
final class Table {

	private static final String COLUMN_GAP = "  ";

	private final List<List<String>> rows = new ArrayList<>();

	private Table(List<String> columnTitles) {
		this.rows.add(columnTitles);
	}

	static Table of(String... columnTitles) {
		return new Table(List.of(columnTitles));
	}

	Table addRow(Object... cells) {
		List<String> row = new ArrayList<>();
		for (Object cell : cells) {
			String text = String.valueOf(cell);
			row.add(text.isEmpty() ? "-" : text);
		}
		this.rows.add(row);
		return this;
	}

	String format() {
		int[] widths = widths();
		StringBuilder text = new StringBuilder();
		for (List<String> row : this.rows) {
			StringBuilder line = new StringBuilder();
			for (int i = 0; i < row.size(); i++) {
				line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length())).append(COLUMN_GAP);
			}
			text.append(line.toString().stripTrailing()).append('\n');
		}
		return text.toString();
	}

	private int[] widths() {
		int[] widths = new int[this.rows.get(0).size()];
		for (List<String> row : this.rows) {
			for (int i = 0; i < row.size(); i++) {
				widths[i] = Math.max(widths[i], row.get(i).length());
			}
		}
		return widths;
	}

}
