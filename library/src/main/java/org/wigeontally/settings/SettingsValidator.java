package org.wigeontally.settings;

import com.google.protobuf.Message;

import org.wigeontally.errors.Findings;

/**
 * Checks of values that the schema cannot express.
 *
 * @param <B> type of the message's builder
 */
@FunctionalInterface
public interface SettingsValidator<B extends Message.Builder> {

	/**
	 * Adds a finding for each fault.
	 * @param settings the values read; fields with findings of their own are unset
	 * @param locations places of the values, by field path
	 * @param findings receives the findings
	 */
	void validate(B settings, LocationMap locations, Findings findings);

}
