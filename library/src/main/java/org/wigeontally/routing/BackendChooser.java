package org.wigeontally.routing;

import java.util.List;
import java.util.Optional;

/**
 * Load balancing policy: chooses the backend server that a request is sent to. An
 * instance is not thread-safe; each traffic thread uses its own.
 */
public interface BackendChooser {

	/**
	 * Chooses a backend server.
	 * @param request requirements of the request
	 * @param candidates backend servers as the entry currently sees them
	 * @return the chosen backend server; empty if none of the candidates can serve the
	 * request
	 */
	Optional<Candidate> choose(RoutingRequest request, List<Candidate> candidates);

}
