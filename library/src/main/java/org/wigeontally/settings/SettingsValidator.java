package org.wigeontally.settings;

import com.google.protobuf.Message;

import org.wigeontally.errors.Findings;

/**
 * Validates constraints on settings that the schema cannot express.
 *
 * @param <B> type of the message's builder
 */
@FunctionalInterface
public interface SettingsValidator<B extends Message.Builder> {

	/**
	 * Adds a finding for each invalid value.
	 * @param settings the values read; fields that already have a finding are unset
	 * @param locations locations of the values, by field path
	 * @param findings receives the findings
	 */
	void validate(B settings, LocationMap locations, Findings findings);

}
