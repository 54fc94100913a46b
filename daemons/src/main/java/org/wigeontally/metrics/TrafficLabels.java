package org.wigeontally.metrics;

/**
 * Labels of traffic metrics. Immutable.
 *
 * @param organisation organisation of the caller
 * @param service the called service
 * @param priority priority of the request; the value of the label {@code class}
 */
public record TrafficLabels(String organisation, String service, String priority) {

	String[] values() {
		return new String[] { this.organisation, this.service, this.priority };
	}

}
