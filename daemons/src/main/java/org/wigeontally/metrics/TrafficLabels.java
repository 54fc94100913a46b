package org.wigeontally.metrics;

/**
 * Labels of traffic metrics. Immutable.
 *
 * @param organisation calling organisation
 * @param service service that is called
 * @param priority priority of the request, the class in the metrics
 */
public record TrafficLabels(String organisation, String service, String priority) {

	String[] values() {
		return new String[] { this.organisation, this.service, this.priority };
	}

}
