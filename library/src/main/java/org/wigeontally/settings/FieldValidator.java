package org.wigeontally.settings;

import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;

import com.google.common.net.InetAddresses;

import org.wigeontally.errors.ErrorType;
import org.wigeontally.errors.Findings;
import org.wigeontally.schema.generated.Address;
import org.wigeontally.schema.generated.Finding;

/**
 * Validates single fields, each identified by its field path. A value that already has a
 * finding does not get another one.
 */
final class FieldValidator {

	private static final int MAX_PORT = 65_535;

	private final LocationMap locations;

	private final Findings findings;

	FieldValidator(LocationMap locations, Findings findings) {
		this.locations = locations;
		this.findings = findings;
	}

	void requireText(String path, String value) {
		if (value.isBlank()) {
			addFinding(path, ErrorType.MISSING_VALUE, path);
		}
	}

	void requirePresent(String path, boolean present) {
		if (!present) {
			addFinding(path, ErrorType.MISSING_VALUE, path);
		}
	}

	void checkRange(String path, long value, long min, long max) {
		if (this.locations.contains(path) && (value < min || value > max)) {
			addFinding(path, ErrorType.OUT_OF_RANGE, path, "from " + min + " to " + max);
		}
	}

	void requireInRange(String path, long value, long min, long max) {
		if (!this.locations.contains(path)) {
			addFinding(path, ErrorType.MISSING_VALUE, path);
			return;
		}
		checkRange(path, value, min, max);
	}

	void requireAddress(String path, boolean present, Address address) {
		requirePresent(path, present);
		if (present) {
			checkAddress(path, address);
		}
	}

	void checkAddress(String path, Address address) {
		if (!InetAddresses.isInetAddress(address.getIp())) {
			addFinding(path, ErrorType.BAD_ADDRESS, address.getIp());
		}
		if (address.getPort() < 1 || address.getPort() > MAX_PORT) {
			addFinding(path, ErrorType.OUT_OF_RANGE, path + ".port", "from 1 to " + MAX_PORT);
		}
	}

	void checkAddresses(String path, List<Address> addresses) {
		for (int i = 0; i < addresses.size(); i++) {
			checkAddress(path + "[" + i + "]", addresses.get(i));
		}
		checkUnique(path, "", addresses.stream().map(Addresses::format).toList());
	}

	void requireHex(String path, String value, int lengthBytes) {
		if (value.isEmpty()) {
			addFinding(path, ErrorType.MISSING_VALUE, path);
			return;
		}
		try {
			if (HexFormat.of().parseHex(value).length == lengthBytes) {
				return;
			}
		}
		catch (IllegalArgumentException ex) {
			// Reported below, with the same error as a wrong length.
		}
		addFinding(path, ErrorType.BAD_HEXADECIMAL, path, lengthBytes);
	}

	/**
	 * Checks that no two elements of a list have the same value.
	 * @param listPath field path of the list
	 * @param field name of the compared field, with a leading dot; empty to compare the
	 * elements themselves
	 * @param values the value of each element; empty values are not compared
	 */
	void checkUnique(String listPath, String field, List<String> values) {
		Map<String, String> firstPaths = new HashMap<>();
		for (int i = 0; i < values.size(); i++) {
			String path = listPath + "[" + i + "]" + field;
			String earlierPath = values.get(i).isEmpty() ? null : firstPaths.putIfAbsent(values.get(i), path);
			if (earlierPath != null) {
				addFinding(path, ErrorType.REPEATED_VALUE, path, earlierPath);
			}
		}
	}

	/**
	 * Adds a finding whose location is a field path, translated to line and column.
	 * @param finding the finding
	 */
	void addFinding(Finding finding) {
		if (!hasFinding(finding.getPlace())) {
			this.findings.add(finding.toBuilder().setPlace(this.locations.locate(finding.getPlace())).build());
		}
	}

	private void addFinding(String path, ErrorType type, Object... arguments) {
		if (!hasFinding(path)) {
			this.findings.add(this.locations.locate(path), type, arguments);
		}
	}

	private boolean hasFinding(String path) {
		String location = this.locations.locate(path);
		return this.locations.contains(path)
				&& this.findings.list().stream().anyMatch((finding) -> finding.getPlace().equals(location));
	}

}
