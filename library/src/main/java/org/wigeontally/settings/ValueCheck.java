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
 * Checks of single values, each by its field path. A value that has a finding already
 * gets no second one.
 */
final class ValueCheck {

	private static final int MAX_PORT = 65_535;

	private final PlaceMap places;

	private final Findings findings;

	ValueCheck(PlaceMap places, Findings findings) {
		this.places = places;
		this.findings = findings;
	}

	void required(String path, String value) {
		if (value.isBlank()) {
			add(path, ErrorType.MISSING_VALUE, path);
		}
	}

	void requiredMessage(String path, boolean present) {
		if (!present) {
			add(path, ErrorType.MISSING_VALUE, path);
		}
	}

	void range(String path, long value, long least, long most) {
		if (this.places.has(path) && (value < least || value > most)) {
			add(path, ErrorType.OUT_OF_RANGE, path, "from " + least + " to " + most);
		}
	}

	void requiredRange(String path, long value, long least, long most) {
		if (!this.places.has(path)) {
			add(path, ErrorType.MISSING_VALUE, path);
			return;
		}
		range(path, value, least, most);
	}

	void requiredAddress(String path, boolean present, Address address) {
		requiredMessage(path, present);
		if (present) {
			address(path, address);
		}
	}

	void address(String path, Address address) {
		if (!InetAddresses.isInetAddress(address.getIp())) {
			add(path, ErrorType.BAD_ADDRESS, address.getIp());
		}
		if (address.getPort() < 1 || address.getPort() > MAX_PORT) {
			add(path, ErrorType.OUT_OF_RANGE, path + ".port", "from 1 to " + MAX_PORT);
		}
	}

	void addresses(String path, List<Address> addresses) {
		for (int i = 0; i < addresses.size(); i++) {
			address(path + "[" + i + "]", addresses.get(i));
		}
		unique(path, "", addresses.stream().map(Addresses::format).toList());
	}

	void hexadecimal(String path, String value, int bytes) {
		if (value.isEmpty()) {
			add(path, ErrorType.MISSING_VALUE, path);
			return;
		}
		try {
			if (HexFormat.of().parseHex(value).length == bytes) {
				return;
			}
		}
		catch (IllegalArgumentException ex) {
			// Reported below together with a wrong length.
		}
		add(path, ErrorType.BAD_HEXADECIMAL, path, bytes);
	}

	/**
	 * Checks that no two elements of a list have the same value.
	 * @param list field path of the list
	 * @param field field of the elements, with a leading dot, or empty for the elements
	 * themselves
	 * @param values the value of each element; empty ones are left out
	 */
	void unique(String list, String field, List<String> values) {
		Map<String, String> first = new HashMap<>();
		for (int i = 0; i < values.size(); i++) {
			String path = list + "[" + i + "]" + field;
			String earlier = values.get(i).isEmpty() ? null : first.putIfAbsent(values.get(i), path);
			if (earlier != null) {
				add(path, ErrorType.REPEATED_VALUE, path, earlier);
			}
		}
	}

	/**
	 * Adds a finding whose place is a field path.
	 * @param finding the finding
	 */
	void add(Finding finding) {
		if (!reported(finding.getPlace())) {
			this.findings.add(finding.toBuilder().setPlace(this.places.of(finding.getPlace())).build());
		}
	}

	private void add(String path, ErrorType type, Object... arguments) {
		if (!reported(path)) {
			this.findings.add(this.places.of(path), type, arguments);
		}
	}

	private boolean reported(String path) {
		String place = this.places.of(path);
		return this.places.has(path)
				&& this.findings.list().stream().anyMatch((finding) -> finding.getPlace().equals(place));
	}

}
